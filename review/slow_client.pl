# A client on a link with a small window: sends one request, reads the start of
# its answer, reads nothing for a while, and then leaves or reads on.
# slow_client.pl PORT PATH ID HOLD_S leave|read; prints what it got.
use strict;
use warnings;
use Socket;

my ($port, $path, $id, $hold_s, $then) = @ARGV;
socket(my $socket, PF_INET, SOCK_STREAM, 6) or die;
setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack('i', 4096)) or die;
# The segments of an Ethernet link; those of the loopback are 64 KB long.
setsockopt($socket, 6, 2, pack('i', 1460)) or die;
connect($socket, sockaddr_in($port, inet_aton('127.0.0.1'))) or die;
syswrite($socket, join("\r\n",
  "POST $path HTTP/1.1", 'Host: site.example',
  "X-Jujubeladder-Request-Id: $id", 'X-Jujubeladder-Deadline-Ms: 39000',
  'X-Jujubeladder-Key: key-a', 'Content-Length: 0', '', ''));
my $bytes = sysread($socket, my $text, 1000) // 0;
select(undef, undef, undef, $hold_s);
if ($then eq 'read') {
  while (my $read = sysread($socket, $text, 65536, length $text)) {
    $bytes += $read;
    last if $text =~ /0\r\n\r\n\z/;
  }
  print $text =~ /\r\n0\r\n\r\n\z/ ? "whole\n" : "not whole\n";
} else {
  print "left after $bytes bytes\n";
}
close $socket;
