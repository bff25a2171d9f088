package dev.wisteriarail.soak;

import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.standin.CallerRequests;
import dev.wisteriarail.standin.RunnerStandin;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Callers that send requests of every kind to all nodes over persistent connections, which only the
 * nodes close.
 *
 * <p>Life cycle: {@link #start}, then {@link #stop}. Thread-safe.
 */
final class SoakCallers {

  /** Number of callers per node, so that several requests are in flight when a node is stopped. */
  private static final int CALLERS_PER_NODE = 4;

  /** Upper bound of a caller's pause between two requests. */
  private static final int MAX_PAUSE_MILLIS = 60;

  /**
   * Number of nodes up to which callers send at full rate. For larger fleets, callers pause longer
   * because all nodes share one machine.
   */
  private static final int NODES_AT_FULL_RATE = 4;

  /** Upper bound of a caller's pause after a request without an answer, as the node may be down. */
  private static final int MAX_PAUSE_AFTER_NO_ANSWER_MILLIS = 400;

  /**
   * Time that a caller waits beyond the deadline of its request, so that the node answers first.
   */
  private static final Duration CLIENT_TIMEOUT_MARGIN = Duration.ofSeconds(8);

  private static final Duration SURVEY_DEADLINE = Duration.ofSeconds(20);
  private static final int MODELS = 4;

  /** Mean pause between two requests that crash runners. */
  private static final int MEAN_CRASHING_INTERVAL_MILLIS = 250;

  /** Interval at which stalls of this process are measured. */
  private static final long STALL_POLL_MILLIS = 20;

  private final HttpClient http;
  private final int maxPauseMillis;
  private final AtomicLong longestStallNanos = new AtomicLong();
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicLong requests = new AtomicLong();
  private final Queue<Thread> threads = new ConcurrentLinkedQueue<>();
  private volatile boolean stopping;

  private SoakCallers(HttpClient http, int nodes) {
    this.http = http;
    maxPauseMillis = MAX_PAUSE_MILLIS * Math.max(1, nodes / NODES_AT_FULL_RATE);
  }

  /**
   * Starts the callers.
   *
   * @param seed seed of the callers' requests
   * @param addresses address of each node as host and port
   */
  static SoakCallers start(long seed, List<String> addresses) {
    SoakCallers callers = new SoakCallers(HttpClients.startForCallers(), addresses.size());
    SplittableRandom random = new SplittableRandom(seed);
    callers.startThread(callers::measureStalls);
    for (String address : addresses) {
      for (int i = 0; i < CALLERS_PER_NODE; i++) {
        SplittableRandom callerRandom = random.split();
        callers.startThread(() -> callers.runCaller(address, callerRandom));
      }
    }
    return callers;
  }

  private void runCaller(String address, SplittableRandom random) {
    try {
      while (!stopping) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        Outcome outcome = send(address, kind, random.nextInt(MODELS));
        boolean answered = outcome.status() != Outcome.NO_ANSWER;
        Thread.sleep(random.nextInt(answered ? maxPauseMillis : MAX_PAUSE_AFTER_NO_ANSWER_MILLIS));
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Starts a caller whose requests crash each engine that begins to answer them. They differ from
   * each other and share their first part with all streams.
   */
  void startCrashingCaller(long seed, List<String> addresses) {
    SplittableRandom random = new SplittableRandom(seed);
    startThread(
        () -> {
          try {
            while (!stopping) {
              String address = addresses.get(random.nextInt(addresses.size()));
              send(address, Kind.CHAT, random.nextInt(MODELS), RunnerStandin.CRASHING_PART);
              Thread.sleep(random.nextInt(2 * MEAN_CRASHING_INTERVAL_MILLIS));
            }
          } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Measures the longest stall of this process, which delays the callers' time measurements. */
  private void measureStalls() {
    try {
      while (!stopping) {
        long before = System.nanoTime();
        Thread.sleep(STALL_POLL_MILLIS);
        long late = System.nanoTime() - before - Duration.ofMillis(STALL_POLL_MILLIS).toNanos();
        longestStallNanos.accumulateAndGet(late, Math::max);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends one request and waits for its outcome.
   *
   * @param address a node's address as host and port
   * @param kind the kind of request
   * @param model number of the model for streams
   */
  Outcome send(String address, Kind kind, int model) throws InterruptedException {
    return send(address, kind, model, "session-" + model);
  }

  private Outcome send(String address, Kind kind, int model, String part)
      throws InterruptedException {
    String id = "soak-" + requests.incrementAndGet();
    String modelHeader =
        switch (kind) {
          case CHAT, REPORT, SURVEY -> "m" + model;
          case ADAPTER -> "m" + model + "/a" + model % 2;
          case LOOKUP, ORDER -> "";
        };
    Request request =
        CallerRequests.create(
                http, address, kind.method(), kind.path() + id, modelHeader, id, kind.deadline())
            .timeout(kind.deadline().plus(CLIENT_TIMEOUT_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
    if (kind.isStream()) {
      CallerRequests.withPrompt(request, List.of("first", part, id));
    }
    Outcome outcome = sendAndAwait(address, id, kind, request);
    outcomes.add(outcome);
    return outcome;
  }

  private static Outcome sendAndAwait(String address, String id, Kind kind, Request request)
      throws InterruptedException {
    AtomicLong sentAt = new AtomicLong();
    AtomicLong waitingSince = new AtomicLong();
    request.onRequestSuccess(
        sent -> {
          sentAt.set(System.nanoTime());
          waitingSince.set(sentAt.get());
        });
    request.onResponseBegin(begun -> waitingSince.set(0));
    try {
      ContentResponse response = request.send();
      return Outcome.answered(id, kind, response.getStatus(), response.getContentAsString());
    } catch (TimeoutException failure) {
      return Outcome.unanswered(id, kind, Duration.ZERO, "time limit");
    } catch (ExecutionException failure) {
      long now = System.nanoTime();
      boolean timedOut = failure.getCause() instanceof TimeoutException;
      boolean closed = waitingSince.get() != 0 && !timedOut;
      Duration waited = closed ? Duration.ofNanos(now - waitingSince.get()) : Duration.ZERO;
      Outcome unanswered =
          Outcome.unanswered(id, kind, waited, String.valueOf(failure.getMessage()));
      return sentAt.get() == 0 || timedOut
          ? unanswered
          : unanswered.withCut(new Cut(address, sentAt.get(), now));
    }
  }

  /** Sends several surveys at once and does not wait for their outcomes. */
  void burst(String address, int model, int count) {
    for (int i = 0; i < count; i++) {
      startThread(
          () -> {
            try {
              send(address, Kind.SURVEY, model);
            } catch (InterruptedException interrupted) {
              Thread.currentThread().interrupt();
            }
          });
    }
  }

  private void startThread(Runnable caller) {
    threads.add(Thread.ofVirtual().name("caller").start(caller));
  }

  /** Stops the callers after their current requests; returns the outcomes of all requests. */
  List<Outcome> stop() throws InterruptedException {
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
    HttpClients.stop(http);
    return List.copyOf(outcomes);
  }

  /** Returns the longest measured stall of this process. */
  Duration longestStall() {
    return Duration.ofNanos(longestStallNanos.get());
  }

  /**
   * A request whose connection was closed.
   *
   * @param address caller address of the node
   * @param sentAt when the request was sent, in nanoseconds
   * @param cutAt when the connection was closed, in nanoseconds
   */
  record Cut(String address, long sentAt, long cutAt) {}

  /** The kinds of requests. */
  enum Kind {
    /** A stream that can be resumed on another runner. */
    CHAT("POST", "/chat/"),
    /** A resumable stream from an adapter. */
    ADAPTER("POST", "/chat/"),
    /** A stream that cannot be resumed on another runner. */
    REPORT("POST", "/report/"),
    /** A stream with a long deadline, enough for a model that has to be loaded first. */
    SURVEY("POST", "/survey/"),
    /** An idempotent request, which may run several times. */
    LOOKUP("GET", "/lookup/"),
    /** A non-idempotent request, which may run at most once. */
    ORDER("POST", "/order/");

    private final String method;
    private final String path;

    Kind(String method, String path) {
      this.method = method;
      this.path = path;
    }

    String method() {
      return method;
    }

    String path() {
      return path;
    }

    /** Returns the deadline that callers set. */
    Duration deadline() {
      return this == SURVEY ? SURVEY_DEADLINE : CallerRequests.DEFAULT_TIMEOUT;
    }

    boolean isStream() {
      return this == CHAT || this == ADAPTER || this == REPORT || this == SURVEY;
    }

    boolean isRepeatable() {
      return this == CHAT || this == ADAPTER || this == LOOKUP;
    }
  }

  /**
   * The outcome of a request.
   *
   * @param id the request identifier
   * @param kind the kind of request
   * @param status HTTP status of the complete answer; {@link #NO_ANSWER} if none was received
   * @param body body of the answer, or the reason why none was received
   * @param closedAfter time from the end of sending the request until its connection was closed
   *     without a byte of an answer; zero for other outcomes
   * @param cut how the request was cut, if it was sent and its connection was closed
   */
  record Outcome(
      String id, Kind kind, int status, String body, Duration closedAfter, Optional<Cut> cut) {

    /** Status of a request without a complete answer. */
    static final int NO_ANSWER = 0;

    static Outcome answered(String id, Kind kind, int status, String body) {
      return new Outcome(id, kind, status, body, Duration.ZERO, Optional.empty());
    }

    static Outcome unanswered(String id, Kind kind, Duration closedAfter, String reason) {
      return new Outcome(id, kind, NO_ANSWER, reason, closedAfter, Optional.empty());
    }

    Outcome withCut(Cut newCut) {
      return new Outcome(id, kind, status, body, closedAfter, Optional.of(newCut));
    }
  }
}
