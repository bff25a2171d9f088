package dev.wisteriarail.audit;

import dev.wisteriarail.core.log.LogRecord;

/**
 * One record of the log and what it means.
 *
 * @param logged the record
 * @param sentence what happened, with the figures it was decided on
 */
public record AuditEntry(LogRecord logged, String sentence) {

  /** Returns whether the sentence or the record's identifier holds a name as a whole word. */
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

  /** Returns the entry on one line. */
  public String describe() {
    return "offset " + logged.offset() + ": " + sentence;
  }
}
