package dev.wisteriarail.soak;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.event.EventCode;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The events in the log file of a node, from a position on.
 *
 * @param file the file, which may not exist yet
 * @param position position in the file, in bytes
 */
record NodeLog(Path file, long position) {

  private static final Pattern EVENT = Pattern.compile("\"event\":\"(\\d+)\"");

  /** Returns the whole log. */
  static NodeLog ofFile(Path file) {
    return new NodeLog(file, 0);
  }

  /** Returns what will be appended to a log. */
  static NodeLog afterEndOf(Path file) throws IOException {
    return new NodeLog(file, Files.exists(file) ? Files.size(file) : 0);
  }

  /** Returns the lines of an event in order. */
  List<String> lines(EventCode event) throws IOException {
    String number = Integer.toString(event.number());
    return text()
        .lines()
        .filter(
            line -> {
              Matcher matcher = EVENT.matcher(line);
              return matcher.find() && matcher.group(1).equals(number);
            })
        .toList();
  }

  /** Returns whether an event was logged. */
  boolean contains(EventCode event) throws IOException {
    return !lines(event).isEmpty();
  }

  /** Returns the numbers of the events in order. */
  List<Integer> events() throws IOException {
    return EVENT.matcher(text()).results().map(found -> Integer.valueOf(found.group(1))).toList();
  }

  private String text() throws IOException {
    if (!Files.exists(file)) {
      return "";
    }
    try (RandomAccessFile log = new RandomAccessFile(file.toFile(), "r")) {
      byte[] bytes = new byte[(int) Math.max(0, log.length() - position)];
      log.seek(position);
      log.readFully(bytes);
      return new String(bytes, UTF_8);
    }
  }
}
