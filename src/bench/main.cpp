/// \file
/// Entry point of stoneport-bench.
int main() {
  return 2;
}
