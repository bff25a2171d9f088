package dev.wisteriarail.core.tenant;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest of an API key. The key itself is not kept, so that it can reach no log line, metric or
 * other node.
 *
 * @param hex the SHA-256 digest in hexadecimal
 */
public record ApiKeyDigest(String hex) {

  /** Returns the digest of a key. */
  public static ApiKeyDigest of(String key) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(UTF_8));
      return new ApiKeyDigest(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform has SHA-256", missing);
    }
  }
}
