package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.request.InboundRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes hashes of the prefixes of a request body. Each hash covers the request's target and all
 * blocks of the body up to the end of one block.
 */
final class PromptPrefixHashes {

  /** Block length in characters. */
  static final int BLOCK_CHARACTERS = 256;

  private static final int MAX_BLOCKS = 8;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  private PromptPrefixHashes() {}

  /** Returns the hashes, shortest prefix first; empty if the body is shorter than one block. */
  static List<Long> of(InboundRequest request) {
    String body = request.body();
    int blocks = Math.min(MAX_BLOCKS, body.length() / BLOCK_CHARACTERS);
    List<Long> hashes = new ArrayList<>(blocks);
    long hash = FNV_OFFSET_BASIS ^ request.target().hashCode();
    for (int block = 0; block < blocks; block++) {
      for (int i = block * BLOCK_CHARACTERS; i < (block + 1) * BLOCK_CHARACTERS; i++) {
        hash = (hash ^ body.charAt(i)) * FNV_PRIME;
      }
      hashes.add(hash);
    }
    return hashes;
  }
}
