package dev.wisteriarail.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Handles the signal by which a platform announces changed settings; unhandled, it ends a process.
 *
 * <p>The JDK offers signals only in an unsupported class, which the compiler refuses to name. It is
 * found at run time; without it the signal keeps its default effect.
 */
final class HangupSignal {

  private HangupSignal() {}

  /** Runs an action each time the signal comes. */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler run =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object proxy =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, run);
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException failure) {
      LogManager.getLogger(HangupSignal.class)
          .warn("the signal for changed settings is not handled", failure);
    }
  }
}
