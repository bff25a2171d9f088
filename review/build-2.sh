#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

find_jdk() {
  local home
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /opt/jdk* "$HOME"/.sdkman/candidates/java/*; do
    if [ -n "$home" ] && [ -x "$home/bin/javac" ] \
      && grep -q '^JAVA_VERSION="25\b' "$home/release" 2>/dev/null; then
      echo "$home"
      return
    fi
  done
  echo "error: no JDK 25 found; install one or set JAVA_HOME to it" >&2
  exit 3
}

jdk="$(find_jdk)"
mkdir -p "$root/target/review-2"
"$jdk/bin/javac" -d "$root/target/review-2" "$root"/review/standin-2/*.java
