package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServiceShare;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides for which services requests are queued fairly and by urgency, and how many requests of a
 * rank a runner may have. It depends only on the configuration and one setting.
 *
 * <p>Load: a burst of less urgent requests fills all slots of all runners. Urgent callers leave
 * after 2 s and less urgent ones after up to 24 s, so without a limit by rank the less urgent ones
 * win every slot that becomes free. Urgent requests may therefore wait at a runner, which admits
 * the more urgent ones of all nodes first.
 *
 * <p>Immutable.
 */
public final class UrgencyPolicy {

  /** Share of its slots by which a runner may have more requests of the most urgent rank. */
  private static final int EXTRA_SHARE = 4;

  /** Share of its slots that less urgent requests leave free while more urgent ones wait. */
  private static final int RESERVE_SHARE = 16;

  private static final NavigableSet<Integer> NO_RANKS = new TreeSet<>();

  private final Map<String, NavigableSet<Integer>> ranksByService;

  private UrgencyPolicy(Map<String, NavigableSet<Integer>> ranksByService) {
    this.ranksByService = ranksByService;
  }

  /**
   * Returns the policy for a configuration.
   *
   * @param urgentQueue whether the settings ask for queueing by urgency in all services
   */
  public static UrgencyPolicy of(GatewayConfiguration configuration, boolean urgentQueue) {
    Map<String, NavigableSet<Integer>> ranks = new HashMap<>();
    for (RouteSpec route : configuration.routes()) {
      for (ServiceShare share : route.shares()) {
        Set<Integer> ofService = ranks.computeIfAbsent(share.service(), service -> new TreeSet<>());
        if (configuration.requiresKeys() && !route.isPublic()) {
          configuration.tenants().forEach(tenant -> ofService.add(tenant.rank(route.rank())));
        } else {
          ofService.add(route.rank());
        }
      }
    }
    if (!urgentQueue) {
      ranks
          .keySet()
          .removeIf(
              service -> !configuration.requiresKeys() || !hasTwoRanks(service, configuration));
    }
    return new UrgencyPolicy(ranks);
  }

  private static boolean hasTwoRanks(String service, GatewayConfiguration configuration) {
    return configuration.tenants().stream().map(TenantSpec::priority).distinct().count() > 1
        || configuration.routes().stream()
                .filter(
                    route ->
                        route.shares().stream().anyMatch(share -> share.service().equals(service)))
                .map(RouteSpec::rank)
                .distinct()
                .count()
            > 1;
  }

  /** Returns whether an engine may interrupt requests of a rank for more urgent ones. */
  public boolean mayBePreempted(String service, int rank) {
    return !ranksByService.getOrDefault(service, NO_RANKS).headSet(rank, false).isEmpty();
  }

  /** Returns whether the requests of a service are queued fairly and by urgency. */
  public boolean appliesTo(String service) {
    return ranksByService.containsKey(service);
  }

  /**
   * Returns how many requests an engine may have for a request of a rank to be sent to it. The
   * least urgent rank needs a free slot; the number above the slots grows with the urgency, so that
   * places in the runner's queue are left for the most urgent requests.
   *
   * @param slots number of requests that the engine serves concurrently
   * @param underPressure whether requests of a more urgent rank wait
   */
  public int limit(String service, int rank, int slots, boolean underPressure) {
    NavigableSet<Integer> ranks = ranksByService.getOrDefault(service, NO_RANKS);
    int lessUrgent = ranks.tailSet(rank, false).size();
    int extra = 0;
    if (lessUrgent > 0) {
      int steps = ranks.size() - 1;
      extra = Math.max(1, slots * lessUrgent / (EXTRA_SHARE * steps));
    }
    int reserve = underPressure ? Math.max(1, slots / RESERVE_SHARE) : 0;
    return Math.max(1, slots + extra - reserve);
  }
}
