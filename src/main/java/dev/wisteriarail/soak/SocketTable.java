package dev.wisteriarail.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds out which process opened a TCP connection, from Linux's {@code /proc}. All processes of a
 * soak connect from the same address, so a proxy cannot tell them apart otherwise.
 */
final class SocketTable {

  private static final Logger LOGGER = LogManager.getLogger(SocketTable.class);

  private static final List<Path> TABLES =
      List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

  /** Columns of a line of the tables: the local address and the socket's inode. */
  private static final int LOCAL_ADDRESS = 1;

  private static final int INODE = 9;

  private SocketTable() {}

  /** Returns whether a process has a socket with a local port; false if the process has ended. */
  static boolean hasSocket(long pid, int localPort) {
    String suffix = String.format(Locale.ROOT, ":%04X", localPort);
    Set<String> names = new HashSet<>();
    try {
      for (Path table : TABLES) {
        for (String line : Files.readAllLines(table)) {
          String[] columns = line.trim().split("\\s+", -1);
          if (columns.length > INODE && columns[LOCAL_ADDRESS].endsWith(suffix)) {
            names.add("socket:[" + columns[INODE] + "]");
          }
        }
      }
      try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
        return files.anyMatch(file -> names.contains(target(file)));
      }
    } catch (IOException ended) {
      LOGGER.debug("the sockets of process {} cannot be read", pid, ended);
      return false;
    }
  }

  private static String target(Path file) {
    try {
      return Files.readSymbolicLink(file).toString();
    } catch (IOException closed) {
      return "";
    }
  }
}
