package dev.wisteriarail.core.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are
 * relayed.
 *
 * <p>Events that the caller already has are dropped. Life cycle: one per attempt. Not thread-safe.
 */
public final class EventAssembler {

  private static final String ID_FIELD = "id:";

  /**
   * Maximum length of an event in bytes, which limits the memory that an incomplete event takes.
   */
  private static final int MAX_EVENT_BYTES = 256 * 1024;

  private byte[] partial = new byte[0];
  private String lastEvent;
  private boolean gap;

  private EventAssembler(String lastEvent) {
    this.lastEvent = lastEvent;
  }

  /** Creates an assembler for the first attempt of a request. */
  public static EventAssembler create() {
    return after("");
  }

  /**
   * Creates an assembler for an attempt that continues a stream.
   *
   * @param lastEvent identifier of the last event that the caller has; empty if there is none
   */
  public static EventAssembler after(String lastEvent) {
    return new EventAssembler(lastEvent);
  }

  /**
   * Adds bytes of the stream.
   *
   * @return the complete events that the caller does not have yet; may be empty
   */
  public byte[] accept(byte[] bytes) {
    byte[] all = concat(partial, bytes);
    int end = endOfLastEvent(all);
    partial = Arrays.copyOfRange(all, end, all.length);
    return end == 0 ? new byte[0] : withoutRepeats(Arrays.copyOf(all, end));
  }

  /** Drops events that were relayed before; they are at the start. */
  private byte[] withoutRepeats(byte[] events) {
    int from = 0;
    int start = 0;
    while (start < events.length) {
      int end = endOfFirstEvent(events, start);
      String id = idOf(events, start, end);
      if (!id.isEmpty()) {
        if (isRepeat(id)) {
          from = end;
        } else {
          gap |= leavesGap(id);
          lastEvent = id;
        }
      }
      start = end;
    }
    return from == 0 ? events : Arrays.copyOfRange(events, from, events.length);
  }

  private boolean isRepeat(String id) {
    OptionalLong current = number(id);
    OptionalLong last = number(lastEvent);
    return current.isPresent() && last.isPresent() && current.getAsLong() <= last.getAsLong();
  }

  private boolean leavesGap(String id) {
    OptionalLong current = number(id);
    OptionalLong last = number(lastEvent);
    return current.isPresent() && last.isPresent() && current.getAsLong() > last.getAsLong() + 1;
  }

  private static OptionalLong number(String id) {
    if (id.isEmpty() || id.length() > 18 || !id.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Long.parseLong(id));
  }

  private static String idOf(byte[] events, int start, int end) {
    String event = new String(events, start, end - start, StandardCharsets.UTF_8);
    return event
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .findFirst()
        .map(line -> line.substring(ID_FIELD.length()).trim())
        .orElse("");
  }

  private static int endOfFirstEvent(byte[] bytes, int start) {
    for (int i = start; i < bytes.length; i++) {
      int end = endAt(bytes, i);
      if (end > 0) {
        return end;
      }
    }
    return bytes.length;
  }

  private static int endOfLastEvent(byte[] bytes) {
    for (int i = bytes.length - 1; i >= 1; i--) {
      int end = endAt(bytes, i);
      if (end > 0) {
        return end;
      }
    }
    return 0;
  }

  /**
   * Returns the index after the blank line that ends with the line feed at an index, or 0 if there
   * is none.
   */
  private static int endAt(byte[] bytes, int index) {
    if (bytes[index] != '\n' || index == 0) {
      return 0;
    }
    boolean blank =
        bytes[index - 1] == '\n'
            || (bytes[index - 1] == '\r' && index >= 2 && bytes[index - 2] == '\n');
    return blank ? index + 1 : 0;
  }

  private static byte[] concat(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  // Accessors

  /** Returns the identifier of the last event that the caller has; empty if there is none. */
  public String lastEvent() {
    return lastEvent;
  }

  /** Returns whether an incomplete event is buffered. */
  public boolean hasPartial() {
    return partial.length > 0;
  }

  /** Returns whether the incomplete event exceeds the maximum length. */
  public boolean isTooLong() {
    return partial.length > MAX_EVENT_BYTES;
  }

  /** Returns whether an event is missing between two relayed events. */
  public boolean hasGap() {
    return gap;
  }
}
