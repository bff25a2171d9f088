package dev.wisteriarail.settings;

import java.util.List;
import java.util.regex.Pattern;

/** Splits the path of a key at its dots. */
final class Splitter {

  private static final Pattern DOT = Pattern.compile(Pattern.quote("."));

  private Splitter() {}

  static List<String> split(String path) {
    return DOT.splitAsStream(path).toList();
  }
}
