package dev.wisteriarail.core.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes by which requests with the same content are recognised. */
final class Fingerprints {

  private static final int FINGERPRINT_BYTES = 16;

  private Fingerprints() {}

  /** Returns the hash of a request's target and body; its id, key and headers are not included. */
  static String ofContent(InboundRequest request) {
    return HexFormat.of()
        .formatHex(sha256((request.target() + "\n" + request.body()).getBytes(UTF_8)));
  }

  /** Returns the hash of a request's customer, target and body. */
  static String ofCustomerAndContent(InboundRequest request) {
    String customer = request.customer().value();
    String text = customer.length() + ":" + customer + ofContent(request);
    return HexFormat.of().formatHex(sha256(text.getBytes(UTF_8)), 0, FINGERPRINT_BYTES);
  }

  /** Returns the SHA-256 hash of a byte array. */
  static byte[] sha256(byte[] content) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(content);
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(missing);
    }
  }
}
