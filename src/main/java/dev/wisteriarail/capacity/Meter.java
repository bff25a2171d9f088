package dev.wisteriarail.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.wisteriarail.codec.Codecs;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts messages, bytes and processing time of a fleet. Not thread-safe. */
final class Meter {

  /** Size in bytes of the length field that precedes each frame between nodes. */
  static final int FRAME_HEADER_BYTES = 4;

  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, Long> bytes = new TreeMap<>();
  private final Map<Role, Long> nanos = new EnumMap<>(Role.class);
  private boolean running;

  /** Starts counting. Calls before this one are ignored as warm-up. */
  void start() {
    running = true;
  }

  /** Counts one message at its size in MessagePack with the frame header. */
  void recordMessagePack(String kind, Object content) {
    recordMessage(kind, content, Codecs.messagePack(), FRAME_HEADER_BYTES);
  }

  /** Counts one message at its size in JSON. */
  void recordJson(String kind, Object content) {
    recordMessage(kind, content, Codecs.json(), 0);
  }

  private void recordMessage(String kind, Object content, ObjectMapper mapper, int header) {
    if (!running) {
      return;
    }
    counts.merge(kind, 1L, Long::sum);
    try {
      bytes.merge(kind, (long) mapper.writeValueAsBytes(content).length + header, Long::sum);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Adds processing time to a role. */
  void recordProcessorTime(Role role, long elapsedNanos) {
    if (running) {
      nanos.merge(role, elapsedNanos, Long::sum);
    }
  }

  Map<String, Long> counts() {
    return counts;
  }

  Map<String, Long> bytes() {
    return bytes;
  }

  Map<Role, Long> nanos() {
    return nanos;
  }
}
