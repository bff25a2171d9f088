package dev.wisteriarail.settings;

/**
 * One problem in a TOML file.
 *
 * @param file the file's name
 * @param line the line, counted from 1; 0 where no line applies
 * @param key the key's path, for example {@code peer.port}
 * @param message the fault
 * @param remedy how to correct it
 */
public record TomlProblem(String file, int line, String key, String message, String remedy) {

  /** Returns the problem as one line of text. */
  public String describe() {
    String location = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : key + ": ";
    return location + ": " + subject + message + "; " + remedy;
  }
}
