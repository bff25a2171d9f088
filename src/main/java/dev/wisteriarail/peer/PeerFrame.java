package dev.wisteriarail.peer;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.PeerMessage;

/**
 * Content of one frame between nodes.
 *
 * @param version version of the frame's form, {@link #VERSION}
 * @param from the sender
 * @param incarnation the sender's incarnation
 * @param message the message
 */
public record PeerFrame(int version, NodeId from, Incarnation incarnation, PeerMessage message) {

  /** The version that this program writes and reads. */
  public static final int VERSION = 2;
}
