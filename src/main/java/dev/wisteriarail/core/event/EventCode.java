package dev.wisteriarail.core.event;

/** Numbered events of the structured log. The numbers are stable; docs/EVENTS.md lists them. */
public enum EventCode {
  // Node
  /** The node started. */
  NODE_STARTED(100, "node started"),
  /** The node accepts callers. */
  NODE_READY(101, "node ready"),
  /** The node stops taking requests and finishes those in flight. */
  NODE_DRAINING(102, "node draining"),
  /** The node stopped. */
  NODE_STOPPED(103, "node stopped"),
  /** An adapter around the core failed in an unexpected way. */
  NODE_FAULT(190, "internal fault"),

  // Requests
  /** A request was accepted. */
  REQUEST_ARRIVED(200, "request arrived"),
  /** A request was handed to a runner. */
  REQUEST_DISPATCHED(201, "request dispatched"),
  /** A request was answered to the end. */
  REQUEST_COMPLETED(202, "request completed"),
  /** A request was refused or its answer cut. */
  REQUEST_REFUSED(203, "request refused"),
  /** A caller left before the end of the answer. */
  CALLER_LEFT(204, "caller left"),

  /** A request's content crashed several backend servers and is refused. */
  POISON_FOUND(210, "poison request found"),
  /** A failed attempt is tried again. */
  REQUEST_RETRIED(211, "request retried"),

  // Control of cells
  /** The node became the controller of its cell. */
  CONTROL_GAINED(300, "control gained"),
  /** The node is no longer the controller of its cell. */
  CONTROL_LOST(301, "control lost"),
  /** A decision to load a replica stands in the log. */
  LOAD_DECIDED(310, "load decided"),
  /** A decision to unload a replica stands in the log. */
  UNLOAD_DECIDED(311, "unload decided"),
  /** A replica takes requests. */
  REPLICA_READY(312, "replica ready"),
  /** A replica's reservation was freed. */
  REPLICA_CLOSED(313, "replica closed"),
  /** An engine refused an order with an old fencing number. */
  ORDER_FENCED(320, "order fenced"),
  /** An engine order failed or its outcome is not known. */
  ORDER_FAILED(321, "order failed"),

  // Configuration
  /** A change of configuration came into force. */
  CONFIGURATION_ACCEPTED(400, "configuration accepted"),
  /** A change of configuration was rejected. */
  CONFIGURATION_REJECTED(401, "configuration rejected"),

  /** The log dropped records that this node had not read. */
  LOG_GAP(410, "log gap"),
  /** A snapshot closed the gap. */
  LOG_GAP_CLOSED(411, "log gap closed"),
  /** The node began to write a snapshot to the log. */
  SNAPSHOT_STARTED(412, "snapshot started"),
  /** A peer's snapshot was taken over. */
  SNAPSHOT_TAKEN(413, "snapshot taken from a peer"),

  // Platform and peers
  /** The log service cannot be read. */
  LOG_UNREACHABLE(500, "log unreachable"),
  /** The log service can be read again. */
  LOG_REACHABLE(501, "log reachable"),
  /** A peer was seen for the first time or under a new incarnation. */
  PEER_SEEN(510, "peer seen"),
  /** A peer's heartbeats stopped. */
  PEER_SUSPECTED(511, "peer suspected"),
  /** A peer said that it has stopped. */
  PEER_CLOSED(512, "peer closed"),
  /** A connection from a peer was refused. */
  PEER_REFUSED(513, "peer refused"),
  /** A node came onto the VM list. */
  PEER_LISTED(520, "peer listed"),
  /** A node is gone from the VM list. */
  PEER_UNLISTED(521, "peer unlisted"),
  /** The platform is about to take a node away. */
  PEER_LEAVING(522, "peer leaving"),
  /** A suspected peer was heard again. */
  PEER_RECOVERED(523, "peer recovered");

  private final int number;
  private final String title;

  EventCode(int number, String title) {
    this.number = number;
    this.title = title;
  }

  /** Returns the stable number. */
  public int number() {
    return number;
  }

  /** Returns the event's short English title. */
  public String title() {
    return title;
  }
}
