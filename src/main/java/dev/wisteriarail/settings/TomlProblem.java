package dev.wisteriarail.settings;

/**
 * One problem in a TOML file.
 *
 * @param file the file's name
 * @param line the line, counted from 1; 0 where no line applies
 * @param key the key's path, for example {@code peer.port}
 * @param message what is wrong
 * @param remedy how to mend it
 */
public record TomlProblem(String file, int line, String key, String message, String remedy) {

  /** Returns the problem on one line. */
  public String describe() {
    String place = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : key + ": ";
    return place + ": " + subject + message + "; " + remedy;
  }
}
