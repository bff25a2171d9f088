package dev.wisteriarail.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
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
import java.util.regex.Pattern;

/**
 * A parsed TOML file whose values are checked when they are read. It collects all problems, so that
 * they are reported together; {@link #check} ends the reading.
 *
 * <p>Not thread-safe.
 */
public final class TomlDocument {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{[^{}]*}}");

  private static final Pattern SCALAR = Pattern.compile("true|false|-?[0-9][0-9.eE+-]*");

  private static final JsonMapper VALUE_READER = new JsonMapper();

  private final String file;
  private final List<String> lines;
  private final JsonNode root;
  private final List<TomlProblem> problems = new ArrayList<>();
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
   * Parses TOML.
   *
   * @param file the file name to report in problems
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

  /** Returns a required string; if it is missing or blank, adds a problem and returns a dummy. */
  public String text(String path) {
    JsonNode node = find(path);
    if (node.isTextual() && !node.asText().isBlank()) {
      return node.asText();
    }
    addProblem(path, "a string is required", "write " + lastSegment(path) + " = \"...\"");
    return "missing";
  }

  /** Returns a string, or a default if the key is absent. */
  public String text(String path, String defaultValue) {
    return find(path).isMissingNode() ? defaultValue : text(path);
  }

  /** Returns an integer within bounds, or a default if the key is absent. */
  public long integer(String path, long min, long max, long defaultValue) {
    JsonNode node = findScalar(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (node.isIntegralNumber() && node.asLong() >= min && node.asLong() <= max) {
      return node.asLong();
    }
    addProblem(path, "a whole number is required", "write a number from " + min + " to " + max);
    return defaultValue;
  }

  /** Returns a number within bounds, or a default if the key is absent. */
  public double number(String path, double min, double max, double defaultValue) {
    JsonNode node = findScalar(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (node.isNumber() && node.asDouble() >= min && node.asDouble() <= max) {
      return node.asDouble();
    }
    addProblem(path, "a number is required", "write a number from " + min + " to " + max);
    return defaultValue;
  }

  /** Returns a boolean, or a default if the key is absent. */
  public boolean flag(String path, boolean defaultValue) {
    JsonNode node = findScalar(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (!node.isBoolean()) {
      addProblem(path, "true or false is required", "write true or false");
    }
    return node.asBoolean(defaultValue);
  }

  /** Returns a duration given in milliseconds, or a default if the key is absent. */
  public Duration millis(String path, Duration defaultValue) {
    long max = Duration.ofDays(366).toMillis();
    return Duration.ofMillis(integer(path, 1, max, defaultValue.toMillis()));
  }

  /** Returns a list of strings, which is empty if the key is absent. */
  public List<String> texts(String path) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return List.of();
    }
    if (!node.isArray()) {
      addProblem(
          path, "a list of strings is required", "write " + lastSegment(path) + " = [\"...\"]");
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < node.size(); i++) {
      texts.add(text(path + "." + i));
    }
    return texts;
  }

  /** Returns whether the document contains a key or table. */
  public boolean contains(String path) {
    return !find(path).isMissingNode();
  }

  /** Returns the length of an array of tables; its entries have the paths path.0, path.1, ... */
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

  /** Records a problem with a key. */
  public void addProblem(String path, String message, String remedy) {
    problems.add(new TomlProblem(file, lineOf(path), path, message, remedy));
  }

  /** Records a problem for each key that no method has read. */
  public void rejectUnknownKeys() {
    rejectUnknown(root, "");
  }

  /** Returns the line of a key or else of its table, counted from 1; 0 if there is none. */
  public int line(String path) {
    return lineOf(path);
  }

  /** Returns the problems found so far. */
  public List<TomlProblem> problems() {
    return List.copyOf(problems);
  }

  /**
   * Ends the reading: rejects unknown keys and reports all problems.
   *
   * @throws SettingsException with all problems, one per line, if there are any
   */
  public void check() throws SettingsException {
    rejectUnknownKeys();
    if (!problems.isEmpty()) {
      String all = String.join("\n", problems.stream().map(TomlProblem::describe).toList());
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, file, problems.size() + " problems\n" + all);
    }
  }

  // Helpers

  private JsonNode find(String path) {
    readPaths.add(path);
    JsonNode node = root;
    for (String part : KeyPath.split(path)) {
      node = node.isArray() ? node.path(Integer.parseInt(part)) : node.path(part);
    }
    return node;
  }

  /**
   * Returns a number or a boolean, which may be written as text. Text that is empty, or a
   * placeholder of a template that was not filled in, counts as an absent key.
   */
  private JsonNode findScalar(String path) {
    JsonNode node = find(path);
    if (!node.isTextual()) {
      return node;
    }
    String text = node.asText().trim();
    if (text.isEmpty() || PLACEHOLDER.matcher(text).matches()) {
      return MissingNode.getInstance();
    }
    if (!SCALAR.matcher(text).matches()) {
      return node;
    }
    try {
      return VALUE_READER.readTree(text);
    } catch (IOException malformed) {
      return node;
    }
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

  private static String lastSegment(String path) {
    return path.substring(path.lastIndexOf('.') + 1);
  }
}
