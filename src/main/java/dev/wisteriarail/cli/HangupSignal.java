package dev.wisteriarail.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Installs a handler for SIGHUP, with which a platform announces changed settings. An unhandled
 * SIGHUP terminates the process.
 *
 * <p>The JDK exposes signal handling only through {@code sun.misc.Signal}, an unsupported class
 * that the compiler rejects. The class is loaded by reflection; if it is missing, the signal keeps
 * its default effect.
 */
final class HangupSignal {

  private HangupSignal() {}

  /** Runs an action each time the process receives SIGHUP. */
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
          .warn("SIGHUP is not handled: settings are not reloaded on it", failure);
    }
  }
}
