package dev.wisteriarail.settings;

import java.util.List;
import java.util.regex.Pattern;

/** Splits the dotted path of a key into its segments. */
final class KeyPath {

  private static final Pattern DOT = Pattern.compile(Pattern.quote("."));

  private KeyPath() {}

  static List<String> split(String path) {
    return DOT.splitAsStream(path).toList();
  }
}
