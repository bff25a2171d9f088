package dev.wisteriarail.capacity;

import java.util.Map;

/**
 * Measured costs of a fleet of one size.
 *
 * @param size size of the fleet
 * @param peerMessagesPerSecond messages that an average node sends to its peers per second
 * @param peerBytesPerSecond bytes of these messages per second
 * @param peerBytesByKind bytes of peer messages in the whole fleet per second, by kind of message
 * @param controllerPeerBytesPerSecond bytes that the node with the most incoming peer traffic
 *     receives per second
 * @param reportBytesPerSecond bytes of runner reports that a node reads per second
 * @param logReadBytesPerSecond bytes of records that a node reads from the log per second
 * @param appendsPerSecond appends to the log by the whole fleet per second, by kind of record
 * @param coreShareByRole fraction of one processor core that an average node uses, by role
 * @param busiestCoreShare fraction of one processor core that the busiest node uses
 * @param heapBytesPerNode average heap usage of a {@code NodeCore}, in bytes
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
