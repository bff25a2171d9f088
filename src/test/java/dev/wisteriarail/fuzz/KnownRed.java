package dev.wisteriarail.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The faults that KNOWN-RED.txt lists for the fuzz: lines {@code fuzz <check> <seed> <steps> | what
 * was seen | issue}.
 */
record KnownRed(String check, long seed, int steps, String line) {

  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final String PREFIX = "fuzz ";

  /** Returns all entries. */
  static List<KnownRed> read() throws IOException {
    return Files.readAllLines(FILE).stream()
        .filter(line -> line.startsWith(PREFIX))
        .map(KnownRed::parse)
        .toList();
  }

  /** Returns the checks that a run is known to break. */
  static Set<String> checks(long seed, int steps) throws IOException {
    return read().stream()
        .filter(entry -> entry.seed == seed && entry.steps == steps)
        .map(KnownRed::check)
        .collect(Collectors.toSet());
  }

  private static KnownRed parse(String line) {
    String[] words = line.split("[ |]+", 5);
    return new KnownRed(words[1], Long.parseLong(words[2]), Integer.parseInt(words[3]), line);
  }
}
