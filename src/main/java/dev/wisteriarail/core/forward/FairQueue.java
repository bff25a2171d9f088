package dev.wisteriarail.core.forward;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Order of the waiting requests of one node: by rank, and within a rank by start-time fair queueing
 * over the tenants (Goyal, Vin, Cheng 1996).
 *
 * <p>Load: one tenant sends many times its usual demand; one large request waits among many small
 * ones. A request starts, in virtual time, when its flow's previous request finishes, but not
 * before the current virtual time. The service of two backlogged flows differs by at most one
 * maximal request of each, however many requests a flow has waiting. A request's own size does not
 * delay it, only the next request of its flow.
 *
 * <p>Only requests that are sent advance a flow, so that a request that is refused costs its tenant
 * nothing. Requests of a flow for different targets do not delay each other: many requests for a
 * model that is not loaded would hold back the tenant's requests for loaded ones.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {

  /** Number of lanes above which all are forgotten; they hold nothing between two orderings. */
  private static final int MAX_LANES = 2_000;

  private final Function<T, Ticket> tickets;
  private final Comparator<T> order;
  private final Map<String, Level> levels = new HashMap<>();
  private final Map<String, Flow> flows = new HashMap<>();
  private final Map<String, Lane> lanes = new HashMap<>();
  private long orderings;

  private FairQueue(Function<T, Ticket> tickets) {
    this.tickets = tickets;
    order =
        Comparator.comparingInt((T request) -> tickets.apply(request).rank)
            .thenComparingDouble(request -> tickets.apply(request).start)
            .thenComparing(request -> tickets.apply(request).arrivedAt);
  }

  /**
   * Creates an order without history.
   *
   * @param tickets returns the ticket of a request, always the same one
   */
  public static <T> FairQueue<T> create(Function<T, Ticket> tickets) {
    return new FairQueue<>(tickets);
  }

  /**
   * Sorts waiting requests.
   *
   * @param waiting the requests in order of arrival
   * @param isFair returns whether the requests of a service are ordered fairly; all others are
   *     ordered by rank and arrival
   */
  public void sort(List<T> waiting, Predicate<String> isFair) {
    orderings++;
    for (T request : waiting) {
      Ticket ticket = tickets.apply(request);
      ticket.start = isFair.test(ticket.service) ? nextStart(ticket) : 0;
    }
    waiting.sort(order);
  }

  private double nextStart(Ticket ticket) {
    if (lanes.size() >= MAX_LANES) {
      lanes.clear();
    }
    Lane lane = lanes.computeIfAbsent(ticket.laneKey, key -> new Lane());
    if (lane.ordering != orderings) {
      lane.ordering = orderings;
      lane.nextStart = flow(ticket).nextStart();
    }
    double start = lane.nextStart;
    lane.nextStart += ticket.cost;
    return start;
  }

  /** Records that a request is sent for the first time; later attempts are not charged. */
  public void charge(T request) {
    Ticket ticket = tickets.apply(request);
    if (!ticket.charged) {
      ticket.charged = true;
      flow(ticket).charge(ticket.cost);
    }
  }

  private Flow flow(Ticket ticket) {
    return flows.computeIfAbsent(
        ticket.flowKey,
        key -> new Flow(levels.computeIfAbsent(ticket.levelKey, level -> new Level())));
  }

  /** Forgets the flows that have no more than their due, as new ones start in the same place. */
  public void advance() {
    flows.values().removeIf(flow -> flow.finish <= flow.level.virtualTime);
  }

  /** Place of one request in the order. */
  public static final class Ticket {

    private final String service;
    private final int rank;
    private final Instant arrivedAt;
    private final double cost;
    private final String levelKey;
    private final String flowKey;
    private final String laneKey;
    private double start;
    private boolean charged;

    private Ticket(
        String service, String target, int rank, String tenant, double cost, Instant arrivedAt) {
      this.service = service;
      this.rank = rank;
      this.arrivedAt = arrivedAt;
      this.cost = cost;
      levelKey = service + "/" + rank;
      flowKey = levelKey + "/" + tenant;
      laneKey = flowKey + "/" + target;
    }

    /**
     * Returns the ticket of a request that arrives.
     *
     * @param service the service
     * @param target what the request needs of a runner; requests with the same one compete
     * @param rank urgency; 0 is the most urgent
     * @param tenant name of the tenant; empty without one
     * @param cost expected work of a runner, in any unit, above 0
     * @param arrivedAt when the request arrived
     */
    public static Ticket of(
        String service, String target, int rank, String tenant, double cost, Instant arrivedAt) {
      return new Ticket(service, target, rank, tenant, cost, arrivedAt);
    }
  }

  /** Virtual time of one service and rank. */
  private static final class Level {

    private double virtualTime;
  }

  /** What one tenant received of one service and rank. */
  private static final class Flow {

    private final Level level;
    private double finish;

    private Flow(Level level) {
      this.level = level;
    }

    private double nextStart() {
      return Math.max(level.virtualTime, finish);
    }

    private void charge(double cost) {
      double start = nextStart();
      level.virtualTime = start;
      finish = start + cost;
    }
  }

  /** Start of the next request of a flow for one target, during one ordering. */
  private static final class Lane {

    private long ordering;
    private double nextStart;
  }
}
