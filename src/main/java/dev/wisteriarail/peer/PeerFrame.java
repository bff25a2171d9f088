package dev.wisteriarail.peer;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.PeerMessage;

/**
 * Content of a frame sent between nodes.
 *
 * @param version version of the frame format, {@link #VERSION}
 * @param from the sender
 * @param incarnation the sender's incarnation
 * @param message the message
 */
public record PeerFrame(int version, NodeId from, Incarnation incarnation, PeerMessage message) {

  /** The only version that this program writes and accepts. */
  public static final int VERSION = 4;
}
