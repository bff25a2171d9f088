package dev.wisteriarail.core.forward;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.UUID;

/**
 * A property that requests share and that may crash each runner that serves them: the content of a
 * whole request, the content as one caller sends it for one model, or one part of a prompt.
 *
 * @param name text form for messages and logs, for example {@code part:5c1e07a2}. That of a
 *     caller's content begins like that of the content, so that earlier versions take it for one.
 */
public record RequestTrait(String name) implements Comparable<RequestTrait> {

  private static final String CONTENT_PREFIX = "content:";

  private static final char CALLER_SEPARATOR = '/';

  /** Length from which the identifier of a part is replaced by a hash. */
  private static final int MAX_PART_ID_LENGTH = 64;

  /** Returns the trait of all requests with the same content. */
  public static RequestTrait ofContent(long fingerprint) {
    return new RequestTrait(CONTENT_PREFIX + Long.toHexString(fingerprint));
  }

  /**
   * Returns the trait of all requests with the same content that a runner cannot tell apart by
   * their caller or model.
   *
   * @param caller identifies the caller and the model
   */
  public static RequestTrait ofCallerContent(long fingerprint, String caller) {
    long callerHash = UUID.nameUUIDFromBytes(caller.getBytes(UTF_8)).getMostSignificantBits();
    return new RequestTrait(
        ofContent(fingerprint).name + CALLER_SEPARATOR + Long.toHexString(callerHash));
  }

  /** Returns the trait of all requests with a part in their prompt. */
  public static RequestTrait ofPart(String id) {
    String bounded =
        id.length() <= MAX_PART_ID_LENGTH
            ? id
            : UUID.nameUUIDFromBytes(id.getBytes(UTF_8)).toString();
    return new RequestTrait("part:" + bounded);
  }

  /** Returns whether this is the content of a whole request, of all callers or of one. */
  public boolean isContent() {
    return name.startsWith(CONTENT_PREFIX);
  }

  /** Returns whether this is the content of a whole request as one caller sends it. */
  public boolean isCallerContent() {
    return isContent() && name.indexOf(CALLER_SEPARATOR) >= 0;
  }

  /** Returns the content, whoever sends it; the trait itself if it is not that of one caller. */
  public RequestTrait content() {
    return isCallerContent()
        ? new RequestTrait(name.substring(0, name.indexOf(CALLER_SEPARATOR)))
        : this;
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
