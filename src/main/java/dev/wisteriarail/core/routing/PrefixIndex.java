package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.engine.CacheReport;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Estimates which prompt prefixes are in the prompt caches of the runners, from the cache reports
 * of the engines and from the requests that this node sent.
 *
 * <p>A gap in a runner's reports clears its entries, since a removal may have been missed. Later
 * reports and the node's own requests fill them again. A wrong entry only costs time: the request
 * goes to a runner that has to process the whole prompt.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the runner table.
 */
final class PrefixIndex {

  private static final int MAX_PREFIXES_PER_RUNNER = 2_048;

  /** Estimated content of one runner's cache; the least recently added prefix comes first. */
  private static final class CachedPrefixes {
    private final Set<Long> prefixes = new LinkedHashSet<>();
    private Incarnation incarnation = Incarnation.NONE;
    private long nextSequence;
  }

  private final Map<RunnerId, CachedPrefixes> caches = new TreeMap<>();

  /** Processes a cache report; older and repeated reports are ignored. */
  void acceptReport(CacheReport report) {
    CachedPrefixes cache = caches.computeIfAbsent(report.runner(), id -> new CachedPrefixes());
    int incarnationOrder = report.incarnation().compareTo(cache.incarnation);
    if (incarnationOrder < 0 || (incarnationOrder == 0 && report.sequence() < cache.nextSequence)) {
      return;
    }
    boolean hasGap = incarnationOrder > 0 || report.sequence() > cache.nextSequence;
    if (hasGap || report.full()) {
      cache.prefixes.clear();
    }
    cache.incarnation = report.incarnation();
    cache.nextSequence = report.sequence() + 1;
    report.removed().forEach(cache.prefixes::remove);
    report.added().forEach(prefix -> add(cache, prefix));
  }

  /** Records the prefixes of a request that was sent to a runner, since they will be cached. */
  void recordSent(RunnerId runner, List<Long> prefixes) {
    CachedPrefixes cache = caches.computeIfAbsent(runner, id -> new CachedPrefixes());
    prefixes.forEach(prefix -> add(cache, prefix));
  }

  private static void add(CachedPrefixes cache, long prefix) {
    cache.prefixes.remove(prefix);
    cache.prefixes.add(prefix);
    if (cache.prefixes.size() > MAX_PREFIXES_PER_RUNNER) {
      cache.prefixes.remove(cache.prefixes.iterator().next());
    }
  }

  /** Returns the estimated share of a prompt's blocks in a runner's cache, from 0 to 1. */
  double matchedShare(RunnerId runner, List<Long> prefixes) {
    CachedPrefixes cache = caches.get(runner);
    if (cache == null || prefixes.isEmpty()) {
      return 0;
    }
    int matched = 0;
    while (matched < prefixes.size() && cache.prefixes.contains(prefixes.get(matched))) {
      matched++;
    }
    return (double) matched / prefixes.size();
  }
}
