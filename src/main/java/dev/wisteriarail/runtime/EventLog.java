package dev.wisteriarail.runtime;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.LogRateLimiter;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.id.NodeId;
import java.time.InstantSource;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes numbered events through Log4j 2 on a dedicated thread, so that a stalled output does not
 * block callers.
 *
 * <p>{@link LogRateLimiter} limits the rate of lines. Life cycle: one per node; {@link #close}
 * writes the queued lines. Thread-safe.
 */
public final class EventLog implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger("wisteriarail.events");

  /** Maximum number of queued lines, of some hundred bytes each. */
  private static final int QUEUE_CAPACITY = 4_096;

  /** Interval of polling the queue; closing waits twice as long for the writer. */
  private static final long CLOSE_MILLIS = 200;

  private final String node;
  private final Consumer<StringMapMessage> output;
  private final InstantSource clock;
  private final BlockingQueue<StringMapMessage> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
  private final LogRateLimiter rateLimiter = LogRateLimiter.create();
  private final Thread writer;
  private volatile boolean running = true;

  private EventLog(String node, Consumer<StringMapMessage> output, InstantSource clock) {
    this.node = node;
    this.output = output;
    this.clock = clock;
    writer = Thread.ofPlatform().name("event-log").daemon(true).unstarted(this::writeAll);
  }

  /** Returns the event log of a node. */
  public static EventLog forNode(NodeId node) {
    return start(node, LOGGER::info, MonotonicClock.start());
  }

  /**
   * Returns an event log with a given output.
   *
   * @param node the node
   * @param output receives each line; may block
   * @param clock the clock of the rate limiter
   */
  static EventLog start(NodeId node, Consumer<StringMapMessage> output, InstantSource clock) {
    EventLog log = new EventLog(node.value(), output, clock);
    log.writer.start();
    return log;
  }

  /**
   * Queues an event, or omits it if the rate limit is reached or the queue full. Does not block.
   */
  public void write(NodeEvent event) {
    OptionalLong omitted;
    synchronized (rateLimiter) {
      double fill = 1.0 - (double) queue.remainingCapacity() / QUEUE_CAPACITY;
      omitted = rateLimiter.admit(event.code(), fill, clock.instant());
    }
    if (omitted.isPresent()) {
      StringMapMessage message = message(event);
      if (omitted.getAsLong() > 0) {
        message.put("omitted", Long.toString(omitted.getAsLong()));
      }
      // If the queue has filled up since the rate limiter admitted this line, the line is lost
      // without being counted; the rate limiter omits and counts the following ones.
      boolean _ = queue.offer(message);
    }
  }

  private StringMapMessage message(NodeEvent event) {
    StringMapMessage message = new StringMapMessage();
    message.put("event", Integer.toString(event.code().number()));
    message.put("title", event.code().title());
    message.put("node", node);
    event.fields().forEach(message::put);
    return message;
  }

  private void writeAll() {
    try {
      while (running || !queue.isEmpty()) {
        StringMapMessage message = queue.poll(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        if (message != null) {
          output.accept(message);
        }
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Logs an unexpected exception with the location at which it was thrown. */
  public void writeFault(Throwable fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    write(
        NodeEvent.of(
            EventCode.NODE_FAULT, "fault", fault, "at", trace.length == 0 ? "" : trace[0]));
  }

  /**
   * Writes the queued lines and the numbers of omitted lines that no line has reported yet. Waits a
   * limited time for the output.
   */
  @Override
  public void close() {
    synchronized (rateLimiter) {
      rateLimiter
          .unreportedOmissions()
          .forEach(
              (event, count) -> {
                boolean _ =
                    queue.offer(
                        message(
                            NodeEvent.of(
                                EventCode.LINES_OMITTED,
                                "of_event",
                                event.number(),
                                "count",
                                count)));
              });
    }
    running = false;
    try {
      writer.join(CLOSE_MILLIS * 2);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
