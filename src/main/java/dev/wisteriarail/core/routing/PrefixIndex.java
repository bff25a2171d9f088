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
 * Which prompt prefixes are believed to be in the caches of which runners: from what the engines
 * publish, and from what this node sent there.
 *
 * <p>After a gap in a runner's reports all belief about it is forgotten, since a removal may have
 * been missed; it grows again from later reports and from the node's own requests. A wrong belief
 * costs time and nothing else.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the runner table.
 */
final class PrefixIndex {

  private static final int MAX_PREFIXES_PER_RUNNER = 2_048;

  /** The belief about one runner's cache. */
  private static final class CachedPrefixes {
    private final Set<Long> prefixes = new LinkedHashSet<>();
    private Incarnation incarnation = Incarnation.NONE;
    private long nextSequence;
  }

  private final Map<RunnerId, CachedPrefixes> caches = new TreeMap<>();

  /** Takes a report; an older or repeated one is ignored. */
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

  /** Notes a request that was sent to a runner: its prefixes will be in the cache. */
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

  /** Returns the part of a prompt's blocks that a runner is believed to have, from 0 to 1. */
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
