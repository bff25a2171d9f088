package dev.wisteriarail.core.forward;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.UUID;

/**
 * A property that requests share and that may crash each runner that serves them: the content of a
 * whole request, or one part of a prompt.
 *
 * @param name text form for messages and logs, for example {@code part:5c1e07a2}
 */
public record RequestTrait(String name) implements Comparable<RequestTrait> {

  private static final String CONTENT_PREFIX = "content:";

  /** Length from which the identifier of a part is replaced by a hash. */
  private static final int MAX_PART_ID_LENGTH = 64;

  /** Returns the trait of all requests with the same content. */
  public static RequestTrait ofContent(long fingerprint) {
    return new RequestTrait(CONTENT_PREFIX + Long.toHexString(fingerprint));
  }

  /** Returns the trait of all requests with a part in their prompt. */
  public static RequestTrait ofPart(String id) {
    String bounded =
        id.length() <= MAX_PART_ID_LENGTH
            ? id
            : UUID.nameUUIDFromBytes(id.getBytes(UTF_8)).toString();
    return new RequestTrait("part:" + bounded);
  }

  /** Returns whether this is the content of a whole request. */
  public boolean isContent() {
    return name.startsWith(CONTENT_PREFIX);
  }

  @Override
  public int compareTo(RequestTrait other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
