package dev.wisteriarail.core.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes that tell whether two requests are the same. */
final class Fingerprints {

  private static final int FINGERPRINT_BYTES = 16;

  private Fingerprints() {}

  /** Returns the hash of a request's target and content, without its id, key and headers. */
  static String ofContent(InboundRequest request) {
    return HexFormat.of()
        .formatHex(sha256((request.target() + "\n" + request.body()).getBytes(UTF_8)));
  }

  /** Returns the hash of a request's customer, target and content. */
  static String ofCustomerAndContent(InboundRequest request) {
    String customer = request.customer().value();
    String text = customer.length() + ":" + customer + ofContent(request);
    return HexFormat.of().formatHex(sha256(text.getBytes(UTF_8)), 0, FINGERPRINT_BYTES);
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
