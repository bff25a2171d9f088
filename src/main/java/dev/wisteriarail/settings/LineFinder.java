package dev.wisteriarail.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the line number of a key in a TOML file. */
final class LineFinder {

  private final List<String> lines;

  LineFinder(List<String> lines) {
    this.lines = lines;
  }

  /**
   * Returns the line of a key's path, counted from 1. If the key has no line of its own, returns
   * the line of its table, or 0 if the table has none either.
   */
  int find(String path) {
    int tableLine = 0;
    Map<String, Integer> arrayCounts = new HashMap<>();
    String table = "";
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).strip();
      if (line.startsWith("[")) {
        table = tableOf(line, arrayCounts);
        if (path.startsWith(table)) {
          tableLine = i + 1;
        }
        continue;
      }
      int equals = line.indexOf('=');
      if (equals > 0 && isKey(path, table, line.substring(0, equals).strip())) {
        return i + 1;
      }
    }
    return tableLine;
  }

  private static String tableOf(String line, Map<String, Integer> arrayCounts) {
    if (line.startsWith("[[")) {
      String name = line.replace("[", "").replace("]", "").strip();
      int index = arrayCounts.merge(name, 1, Integer::sum) - 1;
      return name + "." + index;
    }
    return line.substring(1, Math.max(1, line.indexOf(']'))).strip();
  }

  private static boolean isKey(String path, String table, String key) {
    String full = table.isEmpty() ? key : table + "." + key;
    return path.equals(full) || path.startsWith(full + ".");
  }
}
