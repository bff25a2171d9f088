package dev.wisteriarail.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;

/**
 * Finds the customer of a bearer token. The configuration holds only the SHA-256 hashes of tokens.
 *
 * <p>Thread-safe; the index is rebuilt when the configuration changes.
 */
final class Authenticator {

  private static final String SCHEME = "Bearer ";

  private record Index(Revision revision, Map<String, CustomerId> customersByHash) {}

  private volatile Index index = new Index(Revision.NONE, Map.of());

  /** Returns the customer whose token an Authorization header carries. */
  CustomerId authenticate(String header, Configuration configuration) throws RefusedException {
    if (header == null || !header.startsWith(SCHEME)) {
      throw RefusedException.of(ResultCode.UNAUTHENTICATED, "send Authorization: Bearer <token>");
    }
    CustomerId customer = indexOf(configuration).get(hash(header.substring(SCHEME.length())));
    if (customer == null) {
      throw RefusedException.of(ResultCode.UNAUTHENTICATED, "the bearer token is not known");
    }
    return customer;
  }

  /** Returns the SHA-256 hash of a token in hexadecimal, as the configuration holds it. */
  static String hash(String token) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(missing);
    }
  }

  private Map<String, CustomerId> indexOf(Configuration configuration) {
    Index current = index;
    if (!current.revision().equals(configuration.revision())) {
      current = new Index(configuration.revision(), build(configuration));
      index = current;
    }
    return current.customersByHash();
  }

  private static Map<String, CustomerId> build(Configuration configuration) {
    Map<String, CustomerId> customers = new HashMap<>();
    for (CustomerSpec customer : configuration.customers().values()) {
      for (String tokenHash : customer.tokenHashes()) {
        customers.put(tokenHash, customer.id());
      }
    }
    return Map.copyOf(customers);
  }
}
