package dev.wisteriarail.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A fault that KNOWN-RED.txt lists for fuzz runs. Entries are lines {@code fuzz <check> <seed>
 * <steps> | what was seen | issue}, and for gateway nodes {@code gateway-fuzz <check> <seed> | what
 * was seen | issue}.
 *
 * @param steps number of actions of the run; 0 for gateway nodes, whose runs have a fixed length
 */
record KnownRed(String check, long seed, int steps, String line) {

  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final String PREFIX = "fuzz ";
  private static final String GATEWAY_PREFIX = "gateway-fuzz ";

  /** Returns all entries. */
  static List<KnownRed> read() throws IOException {
    return Files.readAllLines(FILE).stream()
        .filter(line -> line.startsWith(PREFIX))
        .map(line -> parse(line, Integer.parseInt(fields(line)[3])))
        .toList();
  }

  /** Returns all entries for gateway nodes. */
  static List<KnownRed> readGateway() throws IOException {
    return Files.readAllLines(FILE).stream()
        .filter(line -> line.startsWith(GATEWAY_PREFIX))
        .map(line -> parse(line, 0))
        .toList();
  }

  /** Returns the checks that a run is known to violate. */
  static Set<String> checks(long seed, int steps) throws IOException {
    return checksOf(read(), seed, steps);
  }

  /** Returns the checks that a run of gateway nodes is known to violate. */
  static Set<String> gatewayChecks(long seed) throws IOException {
    return checksOf(readGateway(), seed, 0);
  }

  private static Set<String> checksOf(List<KnownRed> entries, long seed, int steps) {
    return entries.stream()
        .filter(entry -> entry.seed == seed && entry.steps == steps)
        .map(KnownRed::check)
        .collect(Collectors.toSet());
  }

  private static KnownRed parse(String line, int steps) {
    return new KnownRed(fields(line)[1], Long.parseLong(fields(line)[2]), steps, line);
  }

  private static String[] fields(String line) {
    return line.split("[ |]+", 5);
  }
}
