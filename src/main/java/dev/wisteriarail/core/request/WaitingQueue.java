package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The requests that wait for a runner: ordered by urgency class, within a class by weighted fair
 * queueing over customers, and for each customer by deadline.
 *
 * <p>A class that was passed over for a number of dispatches in favour of more urgent classes gets
 * the next dispatch, so that no class starves. A customer that was idle accumulates no credit: when
 * it has requests again, its virtual time is at least that of its class.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class WaitingQueue {

  /** Orders requests by deadline, then by order of arrival. */
  static final Comparator<PendingRequest> BY_DEADLINE =
      Comparator.comparing(PendingRequest::deadline).thenComparingLong(PendingRequest::sequence);

  /**
   * Number of requests per target that are tried, so that a request that avoids certain runners
   * does not block the requests behind it.
   */
  private static final int CANDIDATES_PER_TARGET = 4;

  /** Minimum cost of an attempt: slot time in seconds. */
  private static final double MIN_COST_SECONDS = 0.001;

  private static final int DISPATCHES_BEFORE_NORMAL = 8;
  private static final int DISPATCHES_BEFORE_BATCH = 16;

  /** The waiting requests of one customer in one urgency class. */
  private static final class CustomerQueue {
    private final Map<TargetKey, TreeSet<PendingRequest>> byTarget = new TreeMap<>();
    private double virtualTime;
    private int size;
  }

  private final Map<Urgency, Map<CustomerId, CustomerQueue>> queuesByUrgency =
      new EnumMap<>(Urgency.class);
  private final Map<Urgency, Double> virtualTimes = new EnumMap<>(Urgency.class);
  private final Map<Urgency, Integer> timesPassedOver = new EnumMap<>(Urgency.class);
  private final Map<CustomerId, Integer> sizes = new TreeMap<>();

  private WaitingQueue() {
    for (Urgency urgency : Urgency.values()) {
      queuesByUrgency.put(urgency, new TreeMap<>());
      virtualTimes.put(urgency, 0.0);
      timesPassedOver.put(urgency, 0);
    }
  }

  /** Returns an empty queue. */
  static WaitingQueue create() {
    return new WaitingQueue();
  }

  // Updates

  void add(PendingRequest pending) {
    CustomerQueue queue =
        queuesByUrgency
            .get(pending.urgency())
            .computeIfAbsent(pending.request().customer(), customer -> new CustomerQueue());
    if (queue.size == 0) {
      queue.virtualTime = Math.max(queue.virtualTime, virtualTimes.get(pending.urgency()));
    }
    queue.size++;
    queue
        .byTarget
        .computeIfAbsent(pending.target(), target -> new TreeSet<>(BY_DEADLINE))
        .add(pending);
    sizes.merge(pending.request().customer(), 1, Integer::sum);
  }

  void remove(PendingRequest pending) {
    CustomerQueue queue = queuesByUrgency.get(pending.urgency()).get(pending.request().customer());
    TreeSet<PendingRequest> sameTarget =
        queue == null ? null : queue.byTarget.get(pending.target());
    if (sameTarget == null || !sameTarget.remove(pending)) {
      return;
    }
    queue.size--;
    if (sameTarget.isEmpty()) {
      queue.byTarget.remove(pending.target());
    }
    sizes.merge(pending.request().customer(), -1, Integer::sum);
  }

  /**
   * Removes a request that is being dispatched and charges its customer.
   *
   * @param cost the expected slot time of the request, in seconds
   * @param weight the customer's weight
   */
  void removeAndCharge(PendingRequest pending, double cost, int weight) {
    CustomerQueue queue = queuesByUrgency.get(pending.urgency()).get(pending.request().customer());
    remove(pending);
    virtualTimes.put(pending.urgency(), queue.virtualTime);
    double charge = Math.max(MIN_COST_SECONDS, cost) / Math.max(1, weight);
    queue.virtualTime += charge;
    pending.recordCharge(charge);
    for (Urgency lower : Urgency.values()) {
      if (lower.compareTo(pending.urgency()) > 0 && !isEmpty(lower)) {
        timesPassedOver.merge(lower, 1, Integer::sum);
      }
    }
    timesPassedOver.put(pending.urgency(), 0);
  }

  /** Replaces the charge for an attempt's expected slot time by one for its actual slot time. */
  void correctCharge(PendingRequest pending, double cost, int weight) {
    CustomerQueue queue = queuesByUrgency.get(pending.urgency()).get(pending.request().customer());
    if (queue != null) {
      queue.virtualTime +=
          Math.max(MIN_COST_SECONDS, cost) / Math.max(1, weight) - pending.chargedVirtualTime();
    }
  }

  // Selection

  /** Returns the next request in fair order that can run. */
  Optional<PendingRequest> next(Predicate<PendingRequest> canRun) {
    for (Urgency urgency : urgencyOrder()) {
      Optional<PendingRequest> found = nextOf(urgency, canRun);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private Optional<PendingRequest> nextOf(Urgency urgency, Predicate<PendingRequest> canRun) {
    List<CustomerQueue> order =
        queuesByUrgency.get(urgency).values().stream()
            .filter(queue -> queue.size > 0)
            .sorted(Comparator.comparingDouble(queue -> queue.virtualTime))
            .toList();
    for (CustomerQueue queue : order) {
      Optional<PendingRequest> found =
          queue.byTarget.values().stream()
              .flatMap(sameTarget -> sameTarget.stream().limit(CANDIDATES_PER_TARGET))
              .sorted(BY_DEADLINE)
              .filter(canRun)
              .findFirst();
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private List<Urgency> urgencyOrder() {
    List<Urgency> order = new ArrayList<>(List.of(Urgency.values()));
    if (timesPassedOver.get(Urgency.NORMAL) >= DISPATCHES_BEFORE_NORMAL) {
      moveFirst(order, Urgency.NORMAL);
    }
    if (timesPassedOver.get(Urgency.BATCH) >= DISPATCHES_BEFORE_BATCH) {
      moveFirst(order, Urgency.BATCH);
    }
    return order;
  }

  private static void moveFirst(List<Urgency> order, Urgency urgency) {
    order.remove(urgency);
    order.addFirst(urgency);
  }

  // Accessors

  /** Returns the number of waiting requests of a customer. */
  int size(CustomerId customer) {
    return sizes.getOrDefault(customer, 0);
  }

  /**
   * Returns the number of a customer's waiting requests for a target in an urgency class and all
   * more urgent classes.
   */
  int countAhead(CustomerId customer, TargetKey target, Urgency urgency) {
    int ahead = 0;
    for (Urgency other : Urgency.values()) {
      CustomerQueue queue = queuesByUrgency.get(other).get(customer);
      if (other.compareTo(urgency) <= 0 && queue != null) {
        TreeSet<PendingRequest> sameTarget = queue.byTarget.get(target);
        ahead += sameTarget == null ? 0 : sameTarget.size();
      }
    }
    return ahead;
  }

  /** Returns the sum of the weights of the customers that have waiting requests. */
  double waitingWeight(ToDoubleFunction<CustomerId> weight) {
    return sizes.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .mapToDouble(entry -> weight.applyAsDouble(entry.getKey()))
        .sum();
  }

  /** Returns the waiting requests, one collection per urgency class, customer and target. */
  List<Collection<PendingRequest>> groups() {
    List<Collection<PendingRequest>> groups = new ArrayList<>();
    for (Map<CustomerId, CustomerQueue> customers : queuesByUrgency.values()) {
      customers.values().forEach(queue -> groups.addAll(queue.byTarget.values()));
    }
    return groups;
  }

  boolean isEmpty() {
    return queuesByUrgency.keySet().stream().allMatch(this::isEmpty);
  }

  private boolean isEmpty(Urgency urgency) {
    return queuesByUrgency.get(urgency).values().stream().allMatch(queue -> queue.size == 0);
  }
}
