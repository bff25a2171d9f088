package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a response is not cut because its sound runner falls silent for a second or so. */
class CutAfterSilenceTest {

  private static final int REQUESTS = 4;
  private static final int EVENTS = 6;
  private static final int EVENTS_BEFORE_SILENCE = 3;
  private static final long SILENCE_MILLIS = 1_300;
  private static final long EVENT_PAUSE_MILLIS = 20;
  private static final String LOOKUP_BODY = "found";

  /** What the runner that gets the second attempt of a request does. */
  enum Next {
    FULL,
    FAILING,
    SERVING
  }

  /** The identifiers of the requests that a runner has received. */
  private final Set<String> seen = ConcurrentHashMap.newKeySet();

  @ParameterizedTest
  @CsvSource({
    "/chat/1, FULL",
    "/chat/1, FAILING",
    "/chat/1, SERVING",
    "/report/1, FULL",
    "/lookup/1, FULL",
    "/lookup/1, FAILING",
    "/lookup/1, SERVING",
  })
  void answerIsWholeAlthoughItsRunnerIsSilentForOneSecondOrSo(String path, Next next)
      throws Exception {
    boolean stream = !path.startsWith("/lookup");
    String service = stream ? "engines" : "plain";
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 0);
        RawRunner one = RawRunner.start(socket -> serve(socket, stream, next));
        RawRunner other = RawRunner.start(socket -> serve(socket, stream, next))) {
      fleet.platform().store().put("keyed.servers", "one", one.directoryEntry(service));
      fleet.platform().store().put("keyed.servers", "other", other.directoryEntry(service));
      List<String> answers = new ArrayList<>();
      List<String> expected = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        answers.add(answer(fleet, path, stream));
        expected.add("200 " + (stream ? events(1) : LOOKUP_BODY));
      }
      assertWithMessage("answers").that(answers).isEqualTo(expected);
    }
  }

  /** Sends a request until a runner has received it, as the directory may not be known yet. */
  private String answer(GatewayFleet fleet, String path, boolean stream) throws Exception {
    int before = seen.size();
    String answer = "";
    while (seen.size() == before) {
      try {
        HttpResponse<String> got = fleet.send(0, stream ? "POST" : "GET", path, stream ? "m0" : "");
        answer = got.statusCode() + " " + got.body();
      } catch (IOException cut) {
        answer = "cut";
      }
    }
    return answer;
  }

  private static String events(int first) {
    StringBuilder all = new StringBuilder();
    for (int i = first; i <= EVENTS; i++) {
      all.append(event(i));
    }
    return all.toString();
  }

  private static String event(int number) {
    return "id: " + number + "\ndata: x\n\n";
  }

  private void serve(Socket socket, boolean stream, Next next)
      throws IOException, InterruptedException {
    Head head = Head.read(RawRunner.reader(socket));
    if (head.id().isEmpty()) {
      return;
    }
    boolean first = seen.add(head.id());
    OutputStream out = socket.getOutputStream();
    if (!first && next != Next.SERVING) {
      boolean full = next == Next.FULL;
      write(
          out,
          "HTTP/1.1 " + (full ? "503 Full\r\nX-Wisteriarail-Not-Executed: 1" : "500 Failed"),
          head,
          "Content-Length: 0\r\n\r\n");
    } else if (stream) {
      write(out, "HTTP/1.1 200 OK", head, "\r\n");
      writeEvents(out, head.lastEvent() + 1, first);
    } else {
      if (first) {
        Thread.sleep(SILENCE_MILLIS);
      }
      write(
          out,
          "HTTP/1.1 200 OK",
          head,
          "Content-Length: " + LOOKUP_BODY.length() + "\r\n\r\n" + LOOKUP_BODY);
    }
  }

  private static void writeEvents(OutputStream out, int from, boolean silent)
      throws IOException, InterruptedException {
    for (int i = from; i <= EVENTS; i++) {
      out.write(event(i).getBytes(US_ASCII));
      out.flush();
      Thread.sleep(silent && i == EVENTS_BEFORE_SILENCE ? SILENCE_MILLIS : EVENT_PAUSE_MILLIS);
    }
  }

  private static void write(OutputStream out, String status, Head head, String rest)
      throws IOException {
    out.write(
        (status
                + "\r\nX-Wisteriarail-Request-Id: "
                + head.id()
                + "\r\nX-Wisteriarail-Response-Signature: s\r\nConnection: close\r\n"
                + rest)
            .getBytes(US_ASCII));
    out.flush();
  }

  /**
   * What a runner reads of a request.
   *
   * @param id identifier of the request; empty if the connection ended
   * @param lastEvent number of the last event that the caller has
   */
  private record Head(String id, int lastEvent) {

    /** Also reads the body, as closing a connection with unread bytes resets it. */
    static Head read(BufferedReader in) throws IOException {
      String id = "";
      int lastEvent = 0;
      long length = 0;
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        String value = line.substring(line.indexOf(':') + 1).trim();
        if (line.startsWith("X-Wisteriarail-Request-Id:")) {
          id = value;
        } else if (line.startsWith("Last-Event-Id:")) {
          lastEvent = Integer.parseInt(value);
        } else if (line.startsWith("Content-Length:")) {
          length = Long.parseLong(value);
        }
      }
      while (length > 0 && in.read() >= 0) {
        length--;
      }
      return new Head(id, lastEvent);
    }
  }
}
