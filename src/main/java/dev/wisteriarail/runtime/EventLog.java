package dev.wisteriarail.runtime;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.id.NodeId;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Writes numbered events through Log4j 2. Thread-safe. */
public final class EventLog {

  private static final Logger LOGGER = LogManager.getLogger("wisteriarail.events");

  private final String node;

  private EventLog(String node) {
    this.node = node;
  }

  /** Returns the event log of a node. */
  public static EventLog forNode(NodeId node) {
    return new EventLog(node.value());
  }

  /** Writes one event. */
  public void write(NodeEvent event) {
    StringMapMessage message = new StringMapMessage();
    message.put("event", Integer.toString(event.code().number()));
    message.put("title", event.code().title());
    message.put("node", node);
    event.fields().forEach(message::put);
    LOGGER.info(message);
  }

  /** Writes that something failed in an unexpected way, with the place. */
  public void writeFault(RuntimeException fault) {
    LOGGER.error("internal fault", fault);
    write(NodeEvent.of(EventCode.NODE_FAULT, "fault", fault));
  }
}
