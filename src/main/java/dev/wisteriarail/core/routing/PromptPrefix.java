package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.request.InboundRequest;
import java.util.ArrayList;
import java.util.List;

/** Hashes of the leading blocks of a request's body, each over all blocks up to its own. */
final class PromptPrefix {

  /** Characters of one block. */
  static final int BLOCK = 256;

  private static final int MAX_BLOCKS = 8;
  private static final long PRIME = 0x100000001b3L;
  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;

  private PromptPrefix() {}

  /** Returns the hashes, the shortest prefix first; empty for a body shorter than a block. */
  static List<Long> of(InboundRequest request) {
    String body = request.body();
    int blocks = Math.min(MAX_BLOCKS, body.length() / BLOCK);
    List<Long> hashes = new ArrayList<>(blocks);
    long hash = OFFSET_BASIS ^ request.target().hashCode();
    for (int block = 0; block < blocks; block++) {
      for (int i = block * BLOCK; i < (block + 1) * BLOCK; i++) {
        hash = (hash ^ body.charAt(i)) * PRIME;
      }
      hashes.add(hash);
    }
    return hashes;
  }
}
