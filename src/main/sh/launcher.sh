#!/bin/sh
# Starts the jar appended to this script with a JDK 25.
# WISTERIARAIL_JAVA_OPTS replaces the default JVM flags.
case "$1" in
  serve) heap="-Xmx160m -Xmn32m" ;;
  *) heap="-Xmx1g" ;;
esac
java_opts=${WISTERIARAIL_JAVA_OPTS-$heap -Xss512k -XX:+UseSerialGC -XX:+UseCompactObjectHeaders --sun-misc-unsafe-memory-access=allow}
for home in "$JAVA_HOME" /usr/lib/jvm/* /opt/java/* /opt/jdk*; do
  if [ -x "$home/bin/java" ] && grep -q '^JAVA_VERSION="25' "$home/release" 2>/dev/null; then
    # shellcheck disable=SC2086
    exec "$home/bin/java" $java_opts -jar "$0" "$@"
  fi
done
echo "error: wisteriarail needs a JDK 25; set JAVA_HOME to one" >&2
exit 3
