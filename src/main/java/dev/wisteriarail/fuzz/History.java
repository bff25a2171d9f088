package dev.wisteriarail.fuzz;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;

/** The events of a run as lines of text; equal runs have equal digests. Not thread-safe. */
final class History {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MessageDigest digest;
  private final List<String> notable = new ArrayList<>();
  private long lines;

  private History(MessageDigest digest) {
    this.digest = digest;
  }

  /** Returns an empty history. */
  static History create() {
    try {
      return new History(MessageDigest.getInstance("SHA-256"));
    } catch (NoSuchAlgorithmException impossible) {
      throw new AssertionError(impossible);
    }
  }

  /** Adds a line to the digest only. */
  void add(Instant at, String line) {
    lines++;
    digest.update((at + " " + line + "\n").getBytes(UTF_8));
  }

  /** Adds a line to the digest and to the readable history of the run. */
  void addNotable(Instant at, String line) {
    add(at, line);
    double seconds = Duration.between(Instant.EPOCH, at).toNanos() / NANOS_PER_SECOND;
    notable.add(String.format("%9.3f %s", seconds, line));
  }

  /** Returns the number of lines. */
  long size() {
    return lines;
  }

  /** Returns the notable lines. */
  List<String> notable() {
    return Collections.unmodifiableList(notable);
  }

  /** Returns the digest of all lines and ends the history. */
  String finish() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
