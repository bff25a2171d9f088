package dev.wisteriarail.capacity;

import java.util.Map;

/**
 * What a fleet of one size was measured to cost.
 *
 * @param size its size
 * @param peerMessagesPerSecond messages that a node sends to its peers in a second, on average
 * @param peerBytesPerSecond their bytes
 * @param peerBytesByKind their bytes in the whole fleet in a second, by kind of message
 * @param controllerPeerBytesPerSecond bytes that the busiest node receives from peers in a second
 * @param reportBytesPerSecond bytes of reports that a node reads from runners in a second
 * @param logReadBytesPerSecond bytes of records that a node reads from the log in a second
 * @param appendsPerSecond appends of the whole fleet in a second, by kind of record
 * @param coreShareByRole share of one core that an average node spends, by role
 * @param busiestCoreShare share of one core that the busiest node spends
 * @param heapBytesPerNode heap of a node's core, in bytes
 */
public record Sample(
    Size size,
    double peerMessagesPerSecond,
    double peerBytesPerSecond,
    Map<String, Double> peerBytesByKind,
    double controllerPeerBytesPerSecond,
    double reportBytesPerSecond,
    double logReadBytesPerSecond,
    Map<String, Double> appendsPerSecond,
    Map<Role, Double> coreShareByRole,
    double busiestCoreShare,
    double heapBytesPerNode) {}
