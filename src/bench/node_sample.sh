# Reads the resources that a node has used so far. Sourced by measurements of
# running nodes.

node_metric() { # admin port, name
	curl -s "http://127.0.0.1:$1/metrics" | sed -n "s/^baobabward_$2 //p"
}

# node_sample PID ADMIN_PORT: prints processor time in clock ticks, control
# bytes in and out, and resident and peak memory in KiB.
node_sample() {
	echo "$(awk '{ print $14 + $15 }' "/proc/$1/stat")" \
		"$(node_metric "$2" control_bytes_in_total)" \
		"$(node_metric "$2" control_bytes_out_total)" \
		"$(awk '/VmRSS/ { print $2 }' "/proc/$1/status")" \
		"$(awk '/VmHWM/ { print $2 }' "/proc/$1/status")"
}
