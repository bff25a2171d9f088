package dev.wisteriarail.core.placement;

/**
 * Histogram of the gaps between arrivals, with logarithmic buckets and exponentially decaying
 * weights.
 *
 * <p>Gaps are in seconds. Not thread-safe.
 */
final class GapHistogram {

  /** Number of buckets: four per octave, from one second to about three days. */
  static final int BUCKETS = 72;

  private static final double BUCKETS_PER_OCTAVE = 4;
  private static final double[] UPPER_SECONDS = upperBounds();

  private final double[] weights = new double[BUCKETS];
  private final double decay;
  private double total;

  private GapHistogram(double decay) {
    this.decay = decay;
  }

  /**
   * Creates an empty histogram.
   *
   * @param decay factor applied to all existing weights when a gap is added
   */
  static GapHistogram create(double decay) {
    return new GapHistogram(decay);
  }

  /** Creates a histogram whose initial weight is distributed evenly over all buckets. */
  static GapHistogram uniform(double decay, double weight) {
    GapHistogram histogram = new GapHistogram(decay);
    for (int i = 0; i < BUCKETS; i++) {
      histogram.weights[i] = weight / BUCKETS;
    }
    histogram.total = weight;
    return histogram;
  }

  /** Adds a gap after decaying the existing weights. */
  void add(double gapSeconds, double weight) {
    for (int i = 0; i < BUCKETS; i++) {
      weights[i] *= decay;
    }
    total = total * decay + weight;
    weights[bucketOf(gapSeconds)] += weight;
  }

  /** Returns the sum of the weights. */
  double total() {
    return total;
  }

  /** Returns the weight of a bucket. */
  double weight(int bucket) {
    return weights[bucket];
  }

  /** Returns the upper bound of a bucket, in seconds. */
  static double upperSeconds(int bucket) {
    return UPPER_SECONDS[bucket];
  }

  /** Returns the lower bound of a bucket, in seconds. */
  static double lowerSeconds(int bucket) {
    return bucket == 0 ? 0 : UPPER_SECONDS[bucket - 1];
  }

  /** Returns the index of the bucket that contains a gap. */
  static int bucketOf(double gapSeconds) {
    if (gapSeconds < 1) {
      return 0;
    }
    int bucket = (int) (BUCKETS_PER_OCTAVE * Math.log(gapSeconds) / Math.log(2)) + 1;
    return Math.min(bucket, BUCKETS - 1);
  }

  private static double[] upperBounds() {
    double[] bounds = new double[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      bounds[i] = Math.pow(2, i / BUCKETS_PER_OCTAVE);
    }
    return bounds;
  }
}
