package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.FleetPosition;
import java.util.Arrays;

/**
 * Selects the runner for a request where many nodes choose at once with figures that are up to a
 * second old.
 *
 * <p>Load: the least loaded runner of a view is the same for all nodes, which then overrun it until
 * the next view. The nodes therefore divide the free slots among them without any message:
 *
 * <ol>
 *   <li>the runner of the session, unless it is busier than the others by more than reading the
 *       prompt again costs;
 *   <li>a slot that a request of this node has left since the view, which no other node knows of;
 *   <li>a free slot of the view that is offered to this node: the free slots of a runner belong to
 *       as many nodes, consecutive in the order of the nodes from a point given by the runner;
 *   <li>otherwise a runner drawn with a probability in proportion to the square of its expected
 *       free capacity.
 * </ol>
 *
 * <p>The load of a runner is its expected time of work for each slot, in units of the mean time of
 * a request. The figures of other nodes approach the mean of all runners as they age, because
 * requests end and the nodes fill the emptier runners.
 *
 * <p>The candidates are kept in arrays that are used again for each request, as the choice runs for
 * each attempt on nodes with a fraction of a core. Not thread-safe.
 */
public final class EvenChoice {

  /** What the choice was based on. The names are written to the log and are labels of a metric. */
  public enum Basis {
    /** The runner has read the session before. */
    SESSION,
    /** A request of this node has left a slot of the runner. */
    FREED,
    /** The view has a free slot that is offered to this node. */
    OFFERED,
    /** The runner was drawn. */
    DRAWN,
    /** The old rule selected the least loaded runner. */
    LEAST
  }

  /** Requests that a warm prompt cache outweighs, as in {@link RunnerScoring}. */
  private static final double SESSION_BONUS = 2.0;

  /** Requests that the same failure domain outweighs, as in {@link RunnerScoring}. */
  private static final double DOMAIN_BONUS = 0.5;

  /** Requests that a failure rate of 1 weighs, as in {@link RunnerScoring}. */
  private static final double FAILURE_WEIGHT = 8.0;

  /**
   * Load above the mean up to which a slot that was left is used again, so that differences between
   * runners shrink. In trials, values from 0.05 to 0.2 rejected equally many arrivals.
   */
  private static final double FREED_MARGIN = 0.05;

  /** Time in which the difference between the figures of a runner and the mean falls to 1/e. */
  private static final double RELAXATION_MILLIS = 2_000;

  /** Age of a figure at the time when a view arrives: about half of the interval of the reports. */
  private static final double AGE_AT_ARRIVAL_MILLIS = 300;

  /** Smallest weight of a runner with a free slot in a draw. */
  private static final double MIN_WEIGHT = 1e-4;

  private static final double NOT_USABLE = -1;

  private int size;
  private int[] slots = new int[64];
  private int[] own = new int[64];
  private int[] change = new int[64];
  private int[] others = new int[64];
  private int[] point = new int[64];
  private double[] bonus = new double[64];
  private double[] pace = new double[64];
  private double[] ramp = new double[64];
  private double[] load = new double[64];
  private int session;
  private Basis basis = Basis.DRAWN;

  private EvenChoice() {}

  /** Creates a choice without candidates. */
  public static EvenChoice create() {
    return new EvenChoice();
  }

  /** Removes all candidates. */
  public void clear() {
    size = 0;
    session = -1;
  }

  /**
   * Adds a candidate, which must accept requests as far as this node knows.
   *
   * @param candidate the runner
   * @param state what this node has observed of it
   * @param usualPace the pace of all runners
   * @param runnerRamp share of its free capacity that it counts with
   */
  public void add(
      RunnerScoring.Candidate candidate,
      RunnerLoad state,
      int ownRunning,
      double usualPace,
      double runnerRamp) {
    if (size == slots.length) {
      grow();
    }
    slots[size] = candidate.slots();
    own[size] = ownRunning;
    change[size] = ownRunning - state.ownInView();
    others[size] = state.othersRunning();
    point[size] = (candidate.runner().hashCode() * 0x9E3779B1) >>> 8;
    bonus[size] =
        (candidate.hasSession() ? SESSION_BONUS : 0)
            + (candidate.sameDomain() ? DOMAIN_BONUS : 0)
            - FAILURE_WEIGHT * candidate.failureRate();
    pace[size] = state.pace(usualPace);
    ramp[size] = runnerRamp;
    if (candidate.hasSession()) {
      session = size;
    }
    size++;
  }

  private void grow() {
    int length = 2 * size;
    slots = Arrays.copyOf(slots, length);
    own = Arrays.copyOf(own, length);
    change = Arrays.copyOf(change, length);
    others = Arrays.copyOf(others, length);
    point = Arrays.copyOf(point, length);
    bonus = Arrays.copyOf(bonus, length);
    pace = Arrays.copyOf(pace, length);
    ramp = Arrays.copyOf(ramp, length);
    load = Arrays.copyOf(load, length);
  }

  /**
   * Returns the index of the selected candidate, in the order in which they were added, or -1 if no
   * candidate has a free slot.
   *
   * @param seed identifies the attempt of the request; decides the draw
   * @param ageMillis time since the last views arrived
   * @param position this node's place among the nodes
   */
  public int choose(long seed, long ageMillis, FleetPosition position) {
    if (size == 0) {
      return -1;
    }
    double mean = estimate(Math.exp(-(ageMillis + AGE_AT_ARRIVAL_MILLIS) / RELAXATION_MILLIS));
    if (session >= 0 && isFree(session) && load[session] <= mean) {
      basis = Basis.SESSION;
      return session;
    }
    int chosen = leastLoadedFreed(mean + FREED_MARGIN);
    basis = Basis.FREED;
    if (chosen < 0) {
      chosen = leastLoadedOffered(position);
      basis = Basis.OFFERED;
    }
    if (chosen < 0) {
      chosen = draw(seed);
      basis = Basis.DRAWN;
    }
    return chosen;
  }

  /**
   * Estimates the load of all candidates and returns its mean.
   *
   * @param fresh share of the difference to the mean that the figures of other nodes still have
   */
  private double estimate(double fresh) {
    double meanOthers = 0;
    for (int i = 0; i < size; i++) {
      meanOthers += (double) others[i] / slots[i] / size;
    }
    double mean = 0;
    for (int i = 0; i < size; i++) {
      double used = (own[i] + fresh * others[i]) / slots[i] + (1 - fresh) * meanOthers;
      // The fourth root: a slower runner holds its requests longer, so the number of requests
      // already reflects most of its pace. With the full pace, more arrivals were rejected.
      load[i] = used * Math.sqrt(Math.sqrt(pace[i])) - bonus[i] / slots[i];
      mean += load[i] / size;
    }
    return mean;
  }

  private boolean isFree(int i) {
    return own[i] + others[i] < slots[i];
  }

  private int leastLoadedFreed(double maxLoad) {
    int best = -1;
    for (int i = 0; i < size; i++) {
      if (change[i] < 0
          && load[i] <= maxLoad
          && isFree(i)
          && ramp[i] >= 1
          && (best < 0 || load[i] < load[best])) {
        best = i;
      }
    }
    return best;
  }

  private int leastLoadedOffered(FleetPosition position) {
    int best = -1;
    for (int i = 0; i < size; i++) {
      int free = slots[i] - others[i] - (own[i] - change[i]);
      if (free <= 0 || !isFree(i) || ramp[i] < 1) {
        continue;
      }
      int place = Math.floorMod(position.index() - point[i], position.nodes());
      int offered = free / position.nodes() + (place < free % position.nodes() ? 1 : 0);
      if (change[i] < offered && (best < 0 || load[i] < load[best])) {
        best = i;
      }
    }
    return best;
  }

  private int draw(long seed) {
    double sum = 0;
    for (int i = 0; i < size; i++) {
      sum += Math.max(0, weight(i));
    }
    double left = (mix(seed) >>> 11) * 0x1.0p-53 * sum;
    int last = -1;
    for (int i = 0; i < size; i++) {
      double weight = weight(i);
      if (weight > 0) {
        last = i;
        left -= weight;
        if (left < 0) {
          return i;
        }
      }
    }
    return last;
  }

  private double weight(int i) {
    if (!isFree(i)) {
      return NOT_USABLE;
    }
    double free = Math.max(0, 1 - load[i]);
    return Math.max(MIN_WEIGHT, free * free) * ramp[i];
  }

  /** Spreads the bits of a seed: the finalizer of SplitMix64. */
  private static long mix(long seed) {
    long mixed = seed + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns what the last choice was based on. */
  public Basis basis() {
    return basis;
  }

  /** Returns the number of requests that a candidate is expected to have. */
  public int expectedRunning(int index) {
    return own[index] + others[index];
  }
}
