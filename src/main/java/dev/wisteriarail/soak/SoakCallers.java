package dev.wisteriarail.soak;

import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.standin.CallerRequests;
import java.time.Duration;
import java.util.List;
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
 * Callers that send requests of every kind to all nodes, over connections that they keep until a
 * node closes them.
 *
 * <p>Life cycle: {@link #start}, then {@link #stop}. Thread-safe.
 */
final class SoakCallers {

  /** Callers of each node: enough to have several requests in flight when a node is stopped. */
  private static final int CALLERS_PER_NODE = 4;

  /** Longest pause of a caller between two requests. */
  private static final int MAX_PAUSE_MILLIS = 60;

  /** Nodes from which on callers pause longer, as all share one machine. */
  private static final int NODES_AT_FULL_RATE = 4;

  /** The same after a request without an answer: its node may be down. */
  private static final int MAX_PAUSE_AFTER_NO_ANSWER_MILLIS = 400;

  /** A caller waits longer than the deadline that it names, so that the node answers first. */
  private static final Duration CLIENT_TIMEOUT_MARGIN = Duration.ofSeconds(8);

  private static final Duration SURVEY_DEADLINE = Duration.ofSeconds(20);
  private static final int MODELS = 4;

  /** Pause between two looks at how late this process runs. */
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
   * @param seed decides what they ask for
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

  /** Measures by how much this process, which times the callers, runs late. */
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
   * Sends one request and waits for its end.
   *
   * @param address a node's address as host and port
   * @param kind what is asked for
   * @param model number of the model, for streams
   */
  Outcome send(String address, Kind kind, int model) throws InterruptedException {
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
    Outcome outcome = sendAndAwait(id, kind, request);
    outcomes.add(outcome);
    return outcome;
  }

  private static Outcome sendAndAwait(String id, Kind kind, Request request)
      throws InterruptedException {
    AtomicLong sentAt = new AtomicLong();
    request.onRequestSuccess(sent -> sentAt.set(System.nanoTime()));
    request.onResponseBegin(begun -> sentAt.set(0));
    try {
      ContentResponse response = request.send();
      return Outcome.answered(id, kind, response.getStatus(), response.getContentAsString());
    } catch (TimeoutException failure) {
      return Outcome.unanswered(id, kind, Duration.ZERO, "time limit");
    } catch (ExecutionException failure) {
      boolean closed = sentAt.get() != 0 && !(failure.getCause() instanceof TimeoutException);
      Duration waited = closed ? Duration.ofNanos(System.nanoTime() - sentAt.get()) : Duration.ZERO;
      return Outcome.unanswered(id, kind, waited, String.valueOf(failure.getMessage()));
    }
  }

  /** Sends several surveys at once, and does not wait for their ends. */
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

  /** Lets the callers finish their requests; returns the ends of all requests. */
  List<Outcome> stop() throws InterruptedException {
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
    HttpClients.stop(http);
    return List.copyOf(outcomes);
  }

  /** Returns the longest time for which this process stood still. */
  Duration longestStall() {
    return Duration.ofNanos(longestStallNanos.get());
  }

  /** What a caller asks for. */
  enum Kind {
    /** A stream that may go on at another runner. */
    CHAT("POST", "/chat/"),
    /** The same, of an adapter. */
    ADAPTER("POST", "/chat/"),
    /** A stream that one runner has to finish. */
    REPORT("POST", "/report/"),
    /** A stream whose callers wait long, also for a model that has to be loaded. */
    SURVEY("POST", "/survey/"),
    /** A request that may run several times. */
    LOOKUP("GET", "/lookup/"),
    /** A request that may run once. */
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

    /** Returns the time limit that callers name. */
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
   * How a request ended.
   *
   * @param id its identifier
   * @param kind what was asked for
   * @param status HTTP status of the whole answer; {@link #NO_ANSWER} if none came
   * @param body the answer's body, or why none came
   * @param closedAfter time from the sending of the whole request until its connection was closed
   *     without a byte of an answer; zero if it ended in another way
   */
  record Outcome(String id, Kind kind, int status, String body, Duration closedAfter) {

    /** Stands for the status of an answer that did not come whole. */
    static final int NO_ANSWER = 0;

    static Outcome answered(String id, Kind kind, int status, String body) {
      return new Outcome(id, kind, status, body, Duration.ZERO);
    }

    static Outcome unanswered(String id, Kind kind, Duration closedAfter, String reason) {
      return new Outcome(id, kind, NO_ANSWER, reason, closedAfter);
    }
  }
}
