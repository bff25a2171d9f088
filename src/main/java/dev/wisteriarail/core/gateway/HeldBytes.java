package dev.wisteriarail.core.gateway;

import java.util.Collections;
import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A node's account of the bytes that it holds for callers and runners: request bodies, responses
 * that are buffered until they are complete, and stream events that the caller has not read.
 *
 * <p>Load: callers and runners that read slowly, whose bytes would exhaust the node's memory. As
 * the account fills, those yield first whose loss costs callers least: new requests are refused at
 * {@link #REQUEST_SHARE} of the limit, the slow stream with the most bytes stops reading from its
 * runner at {@link #LARGEST_STREAM_SHARE}, and all others stop at the limit. Large buffered
 * responses are read one by one before that, as many may not end. A response that has begun is
 * never ended for lack of space. Bytes that were already received when a holder is told to stop are
 * counted beyond the limit, so the account exceeds it by at most one read per response and one
 * buffered response.
 *
 * <p>Life cycle: one per run of a node. Thread-safe.
 */
public final class HeldBytes {

  /**
   * Share of the limit that new requests may fill. The rest belongs to responses of requests that
   * were accepted before.
   */
  private static final double REQUEST_SHARE = 0.75;

  /** Share of the limit above which the largest stream stops reading from its runner. */
  private static final double LARGEST_STREAM_SHARE = 0.875;

  /**
   * Share of the limit that one stream may hold. Several slow callers are buffered at a time, and
   * with the default limit it is far more than a model's answer of some hundred kilobytes.
   */
  private static final double ONE_STREAM_SHARE = 0.25;

  /**
   * Share of the limit above which large buffered responses are read one by one, so that many that
   * do not end leave space for new requests.
   */
  private static final double BUFFERED_SHARE = 0.25;

  /** Size up to which a response is read beside large ones, so that these do not delay it. */
  private static final long SMALL_RESPONSE_BYTES = 16 * 1024;

  private final boolean limited;
  private final long limit;
  private final long bufferLimit;
  private final Map<Kind, Long> heldByKind = new EnumMap<>(Kind.class);

  /** The streams that hold bytes. */
  private final Set<Holding> streams = Collections.newSetFromMap(new IdentityHashMap<>());

  private long total;
  private long refusals;
  private long slowedStreams;

  /** The buffered response that may exceed the limit; null if there is none. */
  private Holding beyondLimit;

  private HeldBytes(boolean limited, long limit, long bufferLimit) {
    this.limited = limited;
    this.limit = limit;
    this.bufferLimit = bufferLimit;
  }

  /** What bytes are held for. */
  public enum Kind {
    /** Body of a caller's request, until its response ends. */
    REQUEST_BODY,
    /** Response that is sent to the caller once it is complete. */
    BUFFERED_RESPONSE,
    /** Complete events of a stream that the caller has not read. */
    STREAM_EVENTS
  }

  /** Returns an account with a limit in bytes. */
  public static HeldBytes withLimit(long bytes) {
    return new HeldBytes(true, bytes, Math.round(bytes * BUFFERED_SHARE));
  }

  /**
   * Returns an account that only counts: it refuses nothing, and each stream reads from its runner
   * only after its caller has read what was relayed before. Only buffered responses are limited, as
   * many runners may send responses without end at the same time.
   *
   * @param bufferLimit bytes of all buffered responses above which large ones are read one by one
   */
  public static HeldBytes countOnly(long bufferLimit) {
    return new HeldBytes(false, Long.MAX_VALUE, bufferLimit);
  }

  /** Starts to hold bytes of one request, response or stream. */
  public Holding open(Kind kind) {
    return new Holding(kind);
  }

  // Decisions

  private synchronized boolean tryReserve(Holding holding, long bytes) {
    // A body that exceeds the share by itself is accepted while nothing else is held: waiting would
    // not help its caller, and its size has a limit of its own.
    boolean alone = total == holding.bytes;
    if (limited && !alone && total + bytes > limit * REQUEST_SHARE) {
      refusals++;
      return false;
    }
    add(holding, bytes);
    return true;
  }

  private synchronized boolean mayReadOn(Holding holding) {
    return switch (holding.kind) {
      case REQUEST_BODY -> true;
      case BUFFERED_RESPONSE -> mayBuffer(holding);
      case STREAM_EVENTS -> mayReadAhead(holding);
    };
  }

  /** One response may exceed the limit; otherwise all of them could wait for each other's bytes. */
  private boolean mayBuffer(Holding holding) {
    boolean small = holding.bytes <= SMALL_RESPONSE_BYTES;
    boolean space = small || held(Kind.BUFFERED_RESPONSE) <= bufferLimit;
    if (holding.closed || (space && total <= limit)) {
      return true;
    }
    if (beyondLimit == null) {
      beyondLimit = holding;
    }
    return beyondLimit == holding;
  }

  private boolean mayReadAhead(Holding holding) {
    boolean may =
        limited
            && holding.bytes <= limit * ONE_STREAM_SHARE
            && total <= limit
            && (total <= limit * LARGEST_STREAM_SHARE || !isLargestStream(holding));
    if (limited && !may && !holding.slowed) {
      slowedStreams++;
    }
    holding.slowed = !may;
    return may;
  }

  private boolean isLargestStream(Holding holding) {
    return streams.stream().noneMatch(other -> other.bytes > holding.bytes);
  }

  // Bookkeeping

  private synchronized void add(Holding holding, long bytes) {
    if (holding.closed) {
      return;
    }
    holding.bytes += bytes;
    total += bytes;
    heldByKind.merge(holding.kind, bytes, Long::sum);
    if (holding.kind == Kind.STREAM_EVENTS) {
      if (holding.bytes > 0) {
        streams.add(holding);
      } else {
        streams.remove(holding);
      }
    }
  }

  private synchronized void close(Holding holding) {
    add(holding, -holding.bytes);
    holding.closed = true;
    if (beyondLimit == holding) {
      beyondLimit = null;
    }
  }

  // Accessors

  /** Returns the bytes that are held for one purpose. */
  public synchronized long held(Kind kind) {
    return heldByKind.getOrDefault(kind, 0L);
  }

  /** Returns the share of the limit that is held: above 1 if it is exceeded, 0 without a limit. */
  public synchronized double pressure() {
    return limited ? (double) total / limit : 0;
  }

  /** Returns whether there is a limit, and streams are buffered for callers that do not read. */
  public boolean isLimited() {
    return limited;
  }

  /** Returns the limit in bytes. */
  public long limit() {
    return limit;
  }

  /** Returns how many requests were refused since the start. */
  public synchronized long refusals() {
    return refusals;
  }

  /** Returns how many times a stream stopped reading from its runner because of the account. */
  public synchronized long slowedStreams() {
    return slowedStreams;
  }

  /** The bytes of one request, response or stream. After {@link #close} it holds none. */
  public final class Holding implements AutoCloseable {

    private final Kind kind;
    private long bytes;
    private boolean slowed;
    private boolean closed;

    private Holding(Kind kind) {
      this.kind = kind;
    }

    /**
     * Holds the bytes of a new request if there is space for them.
     *
     * @return whether they are held; if not, the request is to be refused
     */
    public boolean tryReserve(long more) {
      return HeldBytes.this.tryReserve(this, more);
    }

    /** Holds bytes that were received, whether or not there is space for them. */
    public void hold(long more) {
      add(this, more);
    }

    /** Releases some of the held bytes. */
    public void release(long released) {
      add(this, -released);
    }

    /** Returns whether more of the response may be received before bytes are released. */
    public boolean mayReadOn() {
      return HeldBytes.this.mayReadOn(this);
    }

    /** Releases all held bytes. */
    @Override
    public void close() {
      HeldBytes.this.close(this);
    }
  }
}
