package dev.wisteriarail.fuzz;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The content of a caller's request, which determines the expected answer.
 *
 * @param tag identifies the content
 * @param chunks number of chunks of the answer
 * @param poison whether it crashes the backend server that runs it
 */
record Content(String tag, int chunks, boolean poison) {

  private static final Pattern BODY_PATTERN =
      Pattern.compile("\\{\"prompt\":\"([^\"]+)\",\"max_tokens\":(\\d+),\"poison\":(\\w+)}");

  /** Parses the content from a request's body. */
  static Content parse(String body) {
    Matcher matcher = BODY_PATTERN.matcher(body);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a request body of the fuzz callers: " + body);
    }
    return new Content(
        matcher.group(1),
        Integer.parseInt(matcher.group(2)),
        Boolean.parseBoolean(matcher.group(3)));
  }

  /** Returns the content as a request's body. */
  String body() {
    return "{\"prompt\":\"" + tag + "\",\"max_tokens\":" + chunks + ",\"poison\":" + poison + "}";
  }

  /** Returns a chunk of the expected answer. */
  String chunk(long position) {
    return tag + ":" + position + " ";
  }

  /** Returns the complete expected answer. */
  String answer() {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < chunks; i++) {
      all.append(chunk(i));
    }
    return all.toString();
  }
}
