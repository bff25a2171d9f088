package dev.wisteriarail.core.id;

/** Checks shared by the identifier records. */
final class Identifiers {

  private Identifiers() {}

  static void checkText(String value) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("identifier is empty");
    }
  }
}
