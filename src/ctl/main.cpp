/// \file
/// Entry point of stoneportctl.
int main() {
  return 2;
}
