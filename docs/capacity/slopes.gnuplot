# Draws the slopes of docs/CAPACITY.md out of docs/capacity/points.dat (written by `make measure NAME=scale`).
set terminal svg size 640,400 dynamic enhanced
set key top left
set grid
points = "docs/capacity/points.dat"

set output "docs/capacity/change.svg"
set xlabel "nodes"; set ylabel "s"
set title "A change, until every node has it"
plot points using 1:4 with linespoints title "change", points using 1:5 with linespoints title "after the loss of the owner"

set output "docs/capacity/snapshot.svg"
set title "All nodes restart at once"
plot points using 1:6 with linespoints title "s until all have a snapshot", \
     points using 1:14 with linespoints title "core seconds of the busiest control process"

set output "docs/capacity/node_kb.svg"
set xlabel "loads told a second"; set ylabel "KB a second"
set title "A node's feed"
f(x) = a + b * x
fit f(x) points using 19:18 via a, b
plot points using 19:18 with points title "measured", f(x) title sprintf("%.2f KB + %.1f B a load", a, b * 1000)

set output "docs/capacity/node_share.svg"
set xlabel "servers"; set ylabel "share of a core"
set title "Agent and idle proxy, at two reports a second of each server (carried on)"
plot points using 2:9 with linespoints title "node"

set output "docs/capacity/control_share.svg"
set xlabel "heartbeats a second"; set ylabel "share of a core"
set title "Busiest control process"
plot points using 15:20 with linespoints title "no reports of hollow nodes", points using 15:21 with linespoints title "with them"

set output "docs/capacity/choose.svg"
set xlabel "servers"; set ylabel "us"
set title "One choice of a pair"
g(x) = c + d * x
fit g(x) points using 2:16 via c, d
plot points using 2:16 with points title "measured", g(x) title sprintf("%.0f us + %.3f us a server", c, d)

set output "docs/capacity/memory.svg"
set xlabel "servers"; set ylabel "MB"
set title "Memory"
plot points using 2:11 with linespoints title "agent and proxy", points using 2:13 with linespoints title "control, peak"
