# Sourced by the cases: runs one of the stand-ins' programs from the repository's root, in a temporary folder.
run_case() {
    cd "$1/../.." || exit 2
    program=target/review-standins-2/release/$2
    RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
    if [ ! -x "$program" ] || [ ! -x target/release/quartzdrift ] || [ -z "$RUN" ]; then
        echo "the case could not run: build by deploy/balancer.toml and review/build-2.sh first"
        exit 2
    fi
    WORK=$(mktemp -d) || exit 2
    RECORD=$1/record.txt
    TROUBLE=${TROUBLE:-1}
    export RUN WORK RECORD TROUBLE
    "$program" &
    child=$!
    trap 'kill "$child" 2>/dev/null' INT TERM HUP
    wait "$child"
    status=$?
    # The program ends what it started. This is for the case that it was killed itself.
    if [ -f "$WORK/pids" ]; then
        while read -r pid; do
            if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q 'quartzdrift run'; then
                kill -KILL "$pid"
            fi 2>/dev/null
        done <"$WORK/pids"
    fi
    rm -rf "$WORK"
    case $status in
        0 | 1) exit "$status" ;;
        *) exit 2 ;;
    esac
}
