package dev.wisteriarail.audit;

import dev.wisteriarail.core.log.LogRecord;

/**
 * A record of the log and a description of its effect.
 *
 * @param logged the record
 * @param sentence what the record did, with the figures on which it was decided
 */
public record AuditEntry(LogRecord logged, String sentence) {

  /** Returns whether the sentence or the record's identifier contains a name as a whole word. */
  public boolean mentions(String name) {
    String text = " " + sentence + " " + logged.id() + " ";
    int at = text.indexOf(name);
    while (at >= 0) {
      boolean startsWord = !isWordPart(text.charAt(at - 1));
      boolean endsWord = !isWordPart(text.charAt(at + name.length()));
      if (startsWord && endsWord) {
        return true;
      }
      at = text.indexOf(name, at + 1);
    }
    return false;
  }

  private static boolean isWordPart(char character) {
    return Character.isLetterOrDigit(character) || character == '-' || character == '_';
  }

  /** Returns the entry as one line of text. */
  public String describe() {
    return "offset " + logged.offset() + ": " + sentence;
  }
}
