package dev.wisteriarail.soak;

import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.standin.PlatformCaller;
import java.time.Duration;
import java.util.ArrayList;
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
  private static final int CALLERS_OF_A_NODE = 4;

  /** Longest pause of a caller between two requests. */
  private static final int PAUSE_MILLIS = 60;

  /** The same after a request without an answer: its node may be down. */
  private static final int PAUSE_UNANSWERED_MILLIS = 400;

  /** A caller waits longer than the deadline that it names, so that the node answers first. */
  private static final Duration PATIENCE = Duration.ofSeconds(12);

  private static final int MODELS = 4;

  private final HttpClient http;
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicLong requests = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopping;

  private SoakCallers(HttpClient http) {
    this.http = http;
  }

  /**
   * Starts the callers.
   *
   * @param seed decides what they ask for
   * @param addresses address of each node as host and port
   */
  static SoakCallers start(long seed, List<String> addresses) {
    SoakCallers callers = new SoakCallers(HttpClients.startForCallers());
    SplittableRandom random = new SplittableRandom(seed);
    for (String address : addresses) {
      for (int i = 0; i < CALLERS_OF_A_NODE; i++) {
        SplittableRandom own = random.split();
        callers.threads.add(
            Thread.ofVirtual().name("caller").start(() -> callers.call(address, own)));
      }
    }
    return callers;
  }

  private void call(String address, SplittableRandom random) {
    try {
      while (!stopping) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        Outcome outcome = send(address, kind, random.nextInt(MODELS));
        boolean answered = outcome.status() != Outcome.NO_ANSWER;
        Thread.sleep(random.nextInt(answered ? PAUSE_MILLIS : PAUSE_UNANSWERED_MILLIS));
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
    String named =
        switch (kind) {
          case CHAT, REPORT -> "m" + model;
          case ADAPTER -> "m" + model + "/a" + model % 2;
          case LOOKUP, ORDER -> "";
        };
    Request request =
        PlatformCaller.request(http, address, kind.method(), kind.path() + id, named, id)
            .timeout(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    Outcome outcome = await(id, kind, request);
    outcomes.add(outcome);
    return outcome;
  }

  private static Outcome await(String id, Kind kind, Request request) throws InterruptedException {
    try {
      ContentResponse response = request.send();
      return new Outcome(id, kind, response.getStatus(), response.getContentAsString());
    } catch (ExecutionException | TimeoutException failure) {
      return new Outcome(id, kind, Outcome.NO_ANSWER, String.valueOf(failure.getMessage()));
    }
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

  /** What a caller asks for. */
  enum Kind {
    /** A stream that may go on at another runner. */
    CHAT("POST", "/chat/"),
    /** The same, of an adapter. */
    ADAPTER("POST", "/chat/"),
    /** A stream that one runner has to finish. */
    REPORT("POST", "/report/"),
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

    boolean isStream() {
      return this == CHAT || this == ADAPTER || this == REPORT;
    }

    boolean mayRunAgain() {
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
   */
  record Outcome(String id, Kind kind, int status, String body) {

    /** Stands for the status of an answer that did not come whole. */
    static final int NO_ANSWER = 0;
  }
}
