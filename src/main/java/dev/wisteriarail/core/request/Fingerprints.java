package dev.wisteriarail.core.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes that tell whether two requests are the same. */
final class Fingerprints {

  private Fingerprints() {}

  /** Returns the hash of a request's target and content, without its id, key and headers. */
  static String ofContent(InboundRequest request) {
    return HexFormat.of()
        .formatHex(sha256((request.target() + "\n" + request.body()).getBytes(UTF_8)));
  }

  /** Returns a SHA-256 hash. */
  static byte[] sha256(byte[] content) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(content);
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(missing);
    }
  }
}
