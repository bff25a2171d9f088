package dev.wisteriarail.logservice;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;

/** Tests that the HTTP client for callers waits for a node that is slow to accept connections. */
final class HttpClientsTest {

  private static final int QUEUED_CONNECTIONS = 2;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  @Test
  void callerWaitsForNodeThatAcceptsNoConnectionForOneSecond() throws Exception {
    HttpClient http = HttpClients.startForCallers();
    List<SocketChannel> queued = new ArrayList<>();
    try (ServerSocket node = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
        queued.add(SocketChannel.open(node.getLocalSocketAddress()));
      }
      var call =
          http.newRequest("http://127.0.0.1:" + node.getLocalPort() + "/")
              .timeout(1, TimeUnit.MINUTES);
      var answer = new CompletableResponseListener(call).send();
      assertThat(failsWithin(answer, 1_000)).isFalse();
      Thread.startVirtualThread(() -> answerAll(node));
      assertThat(answer.get().getStatus()).isEqualTo(200);
    } finally {
      for (SocketChannel channel : queued) {
        channel.close();
      }
      HttpClients.stop(http);
    }
  }

  private static boolean failsWithin(CompletableFuture<?> answer, long millis) {
    return answer
        .handle((response, failure) -> failure != null)
        .completeOnTimeout(false, millis, TimeUnit.MILLISECONDS)
        .join();
  }

  private static void answerAll(ServerSocket node) {
    try {
      while (true) {
        Socket accepted = node.accept();
        Thread.startVirtualThread(() -> answer(accepted));
      }
    } catch (IOException closed) {
      // The test has ended.
    }
  }

  private static void answer(Socket socket) {
    try (socket) {
      if (socket.getInputStream().read() >= 0) {
        socket.getOutputStream().write(ANSWER.getBytes(UTF_8));
        socket.getOutputStream().flush();
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
      }
    } catch (IOException disconnected) {
      // The caller has disconnected.
    }
  }
}
