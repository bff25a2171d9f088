package dev.wisteriarail.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A parsed TOML file whose values are checked as they are read. All problems are gathered.
 *
 * <p>Not thread-safe.
 */
public final class TomlDocument {

  private final String file;
  private final List<String> lines;
  private final JsonNode root;
  private final List<Problem> problems = new ArrayList<>();
  private final Set<String> readPaths = new TreeSet<>();

  private TomlDocument(String file, String text, JsonNode root) {
    this.file = file;
    this.root = root;
    lines = text.lines().toList();
  }

  /**
   * Reads and parses a file.
   *
   * @throws SettingsException if the file cannot be read or is not TOML
   */
  public static TomlDocument read(Path path) throws SettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.FILE_UNREADABLE, path.toString(), "cannot be read", failure);
    }
  }

  /**
   * Parses a text.
   *
   * @param file the name used in problems
   * @throws SettingsException if the text is not TOML
   */
  public static TomlDocument parse(String file, String text) throws SettingsException {
    try {
      return new TomlDocument(file, text, new TomlMapper().readTree(text));
    } catch (IOException malformed) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID,
          file,
          "is not valid TOML: " + malformed.getMessage().lines().findFirst().orElse(""),
          malformed);
    }
  }

  // Values

  /** Returns a required text. */
  public String text(String path) {
    JsonNode node = find(path);
    if (node.isTextual() && !node.asText().isBlank()) {
      return node.asText();
    }
    addProblem(path, "a text is required", "write " + leaf(path) + " = \"...\"");
    return "missing";
  }

  /** Returns a text, or a default where the key is absent. */
  public String text(String path, String whenAbsent) {
    return find(path).isMissingNode() ? whenAbsent : text(path);
  }

  /** Returns a whole number within bounds, or a default where the key is absent. */
  public long integer(String path, long least, long most, long whenAbsent) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return whenAbsent;
    }
    if (node.isIntegralNumber() && node.asLong() >= least && node.asLong() <= most) {
      return node.asLong();
    }
    addProblem(path, "a whole number is required", "write a number from " + least + " to " + most);
    return whenAbsent;
  }

  /** Returns a number within bounds, or a default where the key is absent. */
  public double number(String path, double least, double most, double whenAbsent) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return whenAbsent;
    }
    if (node.isNumber() && node.asDouble() >= least && node.asDouble() <= most) {
      return node.asDouble();
    }
    addProblem(path, "a number is required", "write a number from " + least + " to " + most);
    return whenAbsent;
  }

  /** Returns true or false, or a default where the key is absent. */
  public boolean flag(String path, boolean whenAbsent) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return whenAbsent;
    }
    if (!node.isBoolean()) {
      addProblem(path, "true or false is required", "write true or false");
    }
    return node.asBoolean(whenAbsent);
  }

  /** Returns a duration given in milliseconds, or a default where the key is absent. */
  public Duration millis(String path, Duration whenAbsent) {
    long most = Duration.ofDays(366).toMillis();
    return Duration.ofMillis(integer(path, 1, most, whenAbsent.toMillis()));
  }

  /** Returns a list of texts; an empty one where the key is absent. */
  public List<String> texts(String path) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return List.of();
    }
    if (!node.isArray()) {
      addProblem(path, "a list of texts is required", "write " + leaf(path) + " = [\"...\"]");
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < node.size(); i++) {
      texts.add(text(path + "." + i));
    }
    return texts;
  }

  /** Returns whether a key or table stands in the document. */
  public boolean contains(String path) {
    return !find(path).isMissingNode();
  }

  /** Returns the number of tables in an array of tables; entries are read as path.0, path.1. */
  public int size(String path) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return 0;
    }
    if (!node.isArray()) {
      addProblem(path, "an array of tables is required", "write [[" + path + "]]");
      return 0;
    }
    return node.size();
  }

  // Problems

  /** Adds a problem with a key. */
  public void addProblem(String path, String message, String remedy) {
    problems.add(new Problem(file, lineOf(path), path, message, remedy));
  }

  /** Adds a problem for each key that was never asked for. */
  public void rejectUnknownKeys() {
    rejectUnknown(root, "");
  }

  /** Returns the line of a key, counted from 1; 0 if it stands on none. */
  public int line(String path) {
    return lineOf(path);
  }

  /** Returns the problems found so far. */
  public List<Problem> problems() {
    return List.copyOf(problems);
  }

  /**
   * Ends the reading.
   *
   * @throws SettingsException with all problems, one a line, if there are any
   */
  public void check() throws SettingsException {
    rejectUnknownKeys();
    if (!problems.isEmpty()) {
      String all = String.join("\n", problems.stream().map(Problem::describe).toList());
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, file, problems.size() + " problems\n" + all);
    }
  }

  // Helpers

  private JsonNode find(String path) {
    readPaths.add(path);
    JsonNode node = root;
    for (String part : Splitter.split(path)) {
      node = node.isArray() ? node.path(Integer.parseInt(part)) : node.path(part);
    }
    return node;
  }

  private void rejectUnknown(JsonNode node, String path) {
    if (!node.isContainerNode()) {
      if (!readPaths.contains(path)) {
        addProblem(path, "the key is unknown", "remove it or correct its spelling");
      }
      return;
    }
    if (node.isArray()) {
      for (int i = 0; i < node.size(); i++) {
        rejectUnknown(node.get(i), path + "." + i);
      }
      return;
    }
    node.properties()
        .forEach(
            entry -> {
              String child = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
              rejectUnknown(entry.getValue(), child);
            });
  }

  private int lineOf(String path) {
    LineFinder finder = new LineFinder(lines);
    return finder.find(path);
  }

  private static String leaf(String path) {
    return path.substring(path.lastIndexOf('.') + 1);
  }
}
